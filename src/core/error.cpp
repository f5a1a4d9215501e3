/**
 * @file error.cpp
 * Names and category of the router's error codes.
 */
#include "core/error_type.h"

#include <array>
#include <string>

namespace dunehook {

namespace {

/** One row of the table of names. */
struct error_row
{
  errc mCode;             ///< The code.
  std::string_view mName; ///< Its stable name, in lower case with underscores.
};

constexpr std::array kErrorTable{
  error_row{ errc::eBadRequest, "bad_request" },
  error_row{ errc::eInvalidResource, "invalid_resource" },
  error_row{ errc::eVersionConflict, "version_conflict" },
  error_row{ errc::eNotFound, "not_found" },
  error_row{ errc::eUnauthorized, "unauthorized" },
  error_row{ errc::eLogUnavailable, "log_unavailable" },
  error_row{ errc::eLogAmbiguous, "log_ambiguous" },
  error_row{ errc::eRetentionPassed, "retention_passed" },
  error_row{ errc::eNoRunner, "no_runner" },
  error_row{ errc::eOverloaded, "overloaded" },
  error_row{ errc::eQuotaExceeded, "quota_exceeded" },
  error_row{ errc::eDeadlinePassed, "deadline_passed" },
  error_row{ errc::eConnectFailed, "connect_failed" },
  error_row{ errc::eConnectionLost, "connection_lost" },
  error_row{ errc::eCallerGone, "caller_gone" },
  error_row{ errc::eRunnerRefused, "runner_refused" },
  error_row{ errc::eWrongAnswer, "wrong_answer" },
  error_row{ errc::eKeyMalformed, "key_malformed" },
  error_row{ errc::eKeyExpired, "key_expired" },
  error_row{ errc::eKeyClaimed, "key_claimed" },
  error_row{ errc::eStaleFence, "stale_fence" },
  error_row{ errc::eDraining, "draining" },
  error_row{ errc::eBodyTooLarge, "body_too_large" },
};

std::string_view
NameOf(int aValue)
{
  for (const error_row& row : kErrorTable) {
    if (static_cast<int>(row.mCode) == aValue) {
      return row.mName;
    }
  }
  return "internal";
}

class router_category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "dunehook"; }
  std::string message(int aValue) const override { return std::string(NameOf(aValue)); }
};

} // namespace

const std::error_category&
RouterCategory()
{
  static const router_category sCategory;
  return sCategory;
}

std::error_code
make_error_code(errc aCode)
{
  return { static_cast<int>(aCode), RouterCategory() };
}

std::string_view
ErrorName(const std::error_code& aError)
{
  if (aError.category() != RouterCategory()) {
    return "internal";
  }
  return NameOf(aError.value());
}

} // namespace dunehook
