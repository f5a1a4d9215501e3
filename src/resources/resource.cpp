/**
 * @file resource.cpp
 * Names of kinds and roles; parsing, validation and serialization of specs.
 */
#include "resources/resource_type.h"

#include "core/text_func.h"
#include "resources/spec_fields.h"

#include <algorithm>
#include <limits>
#include <set>

namespace dunehook {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::array<std::string_view, kResourceKinds.size()> kKindNames{
  "route", "pool", "priority_class", "model_version", "link", "team",
};
constexpr std::array<std::string_view, 3> kRoleNames{ "prefill", "decode", "service" };

/** Reads the fields of a spec from a JSON object and collects the errors. */
class field_reader
{
public:
  field_reader(const nlohmann::json& aJson, finding_list& aFindings)
    : mJson(aJson)
    , mFindings(aFindings)
  {
  }

  template<typename T>
  void operator()(const char* aName, T& aField)
  {
    mKnownFields.insert(aName);
    const auto found = mJson.find(aName);
    if (found != mJson.end()) {
      Read(aName, *found, aField);
    }
  }

  /** Reports every key that isn't a field of the spec. */
  void ReportUnknown()
  {
    for (const auto& item : mJson.items()) {
      if (!mKnownFields.contains(item.key())) {
        Report(item.key(), "unknown field");
      }
    }
  }

private:
  void Read(const char* aName, const nlohmann::json& aValue, std::string& aField)
  {
    if (!aValue.is_string()) {
      Report(aName, "must be a text");
      return;
    }
    aField = aValue.get<std::string>();
  }

  void Read(const char* aName, const nlohmann::json& aValue, bool& aField)
  {
    if (!aValue.is_boolean()) {
      Report(aName, "must be true or false");
      return;
    }
    aField = aValue.get<bool>();
  }

  void Read(const char* aName, const nlohmann::json& aValue, runner_role& aField)
  {
    const auto* const row = std::find(
      kRoleNames.begin(), kRoleNames.end(), aValue.is_string() ? aValue.get<std::string>() : "");
    if (row == kRoleNames.end()) {
      Report(aName, "must be one of prefill, decode, service");
      return;
    }
    aField = static_cast<runner_role>(row - kRoleNames.begin());
  }

  template<std::unsigned_integral T>
  void Read(const char* aName, const nlohmann::json& aValue, T& aField)
  {
    if (!aValue.is_number_unsigned() ||
        aValue.get<std::uint64_t>() > std::numeric_limits<T>::max()) {
      Report(aName, Join("must be a whole number from 0 to ", std::numeric_limits<T>::max()));
      return;
    }
    aField = aValue.get<T>();
  }

  void Read(const char* aName, const nlohmann::json& aValue, double& aField)
  {
    if (!aValue.is_number() || aValue.get<double>() < 0.0) {
      Report(aName, "must be a number of 0 or more");
      return;
    }
    aField = aValue.get<double>();
  }

  void Report(std::string_view aName, std::string aMessage)
  {
    mFindings.push_back({ Join("spec.", aName), std::move(aMessage) });
  }

  const nlohmann::json& mJson;        ///< The object to read.
  finding_list& mFindings;            ///< Receives the errors.
  std::set<std::string> mKnownFields; ///< Names of the spec's fields.
};

/** Writes the fields of a spec into a JSON object. */
class field_writer
{
public:
  template<typename T>
  void operator()(const char* aName, const T& aField)
  {
    mJson[aName] = aField;
  }
  void operator()(const char* aName, const runner_role& aField) { mJson[aName] = RoleName(aField); }

  nlohmann::json mJson = nlohmann::json::object(); ///< The object written so far.
};

void
Require(bool aIsValid, const char* aField, const char* aMessage, finding_list& aFindings)
{
  if (!aIsValid) {
    aFindings.push_back({ Join("spec.", aField), aMessage });
  }
}

void
Check(const route_spec& aSpec, finding_list& aFindings)
{
  const bool completions = !aSpec.mModel.empty();
  Require(completions == aSpec.mPathPrefix.empty(),
          "model",
          "exactly one of model and path_prefix must be given",
          aFindings);
  Require(aSpec.mTimeoutMs > 0, "timeout_ms", "must be over 0", aFindings);
  if (completions) {
    Require(!aSpec.mClass.empty(), "class", "a route with a model needs a class", aFindings);
    Require(!aSpec.mPrefillPool.empty(), "prefill_pool", "must be given", aFindings);
    Require(!aSpec.mDecodePool.empty(), "decode_pool", "must be given", aFindings);
    Require(!aSpec.mLink.empty(), "link", "must be given", aFindings);
    return;
  }
  Require(aSpec.mPathPrefix.starts_with('/'), "path_prefix", "must start with '/'", aFindings);
  Require(!aSpec.mServicePool.empty(), "service_pool", "must be given", aFindings);
}

void
Check(const pool_spec& aSpec, finding_list& aFindings)
{
  Require(aSpec.mSlots > 0, "slots", "must be over 0", aFindings);
  Require(aSpec.mTokensPerSecond > 0, "tokens_per_second", "must be over 0", aFindings);
  Require(aSpec.mKvLifetimeMs > 0, "kv_lifetime_ms", "must be over 0", aFindings);
  Require(aSpec.mKvBytesPerToken > 0, "kv_bytes_per_token", "must be over 0", aFindings);
}

void
Check(const priority_class_spec& aSpec, finding_list& aFindings)
{
  Require(aSpec.mFirstTokenMs > 0, "first_token_ms", "must be over 0", aFindings);
  Require(aSpec.mBetweenTokensMs > 0, "between_tokens_ms", "must be over 0", aFindings);
  Require(aSpec.mMeanTokens > 0, "mean_tokens", "must be over 0", aFindings);
}

void
Check(const model_version_spec& aSpec, finding_list& aFindings)
{
  Require(!aSpec.mModel.empty(), "model", "must be given", aFindings);
  Require(!aSpec.mVersion.empty(), "version", "must be given", aFindings);
  Require(!aSpec.mWeights.empty(), "weights", "must be given", aFindings);
  Require(!aSpec.mPool.empty(), "pool", "must be given", aFindings);
}

void
Check(const link_spec& aSpec, finding_list& aFindings)
{
  Require(aSpec.mBytesPerSecond > 0, "bytes_per_second", "must be over 0", aFindings);
  Require(aSpec.mChunkBytes > 0, "chunk_bytes", "must be over 0", aFindings);
}

void
Check(const team_spec& aSpec, finding_list& aFindings)
{
  Require(aSpec.mRequestsPerSecond > 0, "requests_per_second", "must be over 0", aFindings);
  Require(aSpec.mBurst >= 1, "burst", "must be 1 or more", aFindings);
}

template<typename Spec>
result<resource_spec>
ReadSpec(const nlohmann::json& aJson, finding_list& aFindings)
{
  const std::size_t before = aFindings.size();
  Spec spec;
  field_reader reader(aJson, aFindings);
  VisitFields(spec, reader);
  reader.ReportUnknown();
  Check(spec, aFindings);
  if (aFindings.size() != before) {
    return make_error_code(errc::eInvalidResource);
  }
  return resource_spec(std::move(spec));
}

} // namespace

std::string_view
KindName(resource_kind aKind)
{
  return kKindNames.at(static_cast<std::size_t>(aKind));
}

result<resource_kind>
ParseKind(std::string_view aName)
{
  for (const resource_kind kind : kResourceKinds) {
    if (KindName(kind) == aName) {
      return kind;
    }
  }
  return make_error_code(errc::eNotFound);
}

std::string_view
RoleName(runner_role aRole)
{
  return kRoleNames.at(static_cast<std::size_t>(aRole));
}

result<resource_spec>
ParseSpec(resource_kind aKind, const nlohmann::json& aJson, finding_list& aFindings)
{
  if (!aJson.is_object()) {
    aFindings.push_back({ "spec", "must be an object" });
    return make_error_code(errc::eInvalidResource);
  }
  switch (aKind) {
    case resource_kind::eRoute:
      return ReadSpec<route_spec>(aJson, aFindings);
    case resource_kind::ePool:
      return ReadSpec<pool_spec>(aJson, aFindings);
    case resource_kind::ePriorityClass:
      return ReadSpec<priority_class_spec>(aJson, aFindings);
    case resource_kind::eModelVersion:
      return ReadSpec<model_version_spec>(aJson, aFindings);
    case resource_kind::eLink:
      return ReadSpec<link_spec>(aJson, aFindings);
    case resource_kind::eTeam:
      return ReadSpec<team_spec>(aJson, aFindings);
  }
  return make_error_code(errc::eInvalidResource);
}

nlohmann::json
SpecToJson(const resource_spec& aSpec)
{
  field_writer writer;
  std::visit([&writer](const auto& aTyped) { VisitFields(aTyped, writer); }, aSpec);
  return writer.mJson;
}

bool
IsValidName(std::string_view aName)
{
  const auto allowed = [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9') || aChar == '-' ||
           aChar == '.' || aChar == '_';
  };
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::all_of(aName.begin(), aName.end(), allowed);
}

} // namespace dunehook
