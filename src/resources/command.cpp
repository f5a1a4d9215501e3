/**
 * @file command.cpp
 * JSON encoding of commands.
 */
#include "resources/command_type.h"

namespace dunehook {

namespace {

using json = nlohmann::json;

struct command_encoder
{
  json operator()(const put_command& aCommand) const
  {
    return { { "type", "put" },
             { "write_id", aCommand.mWriteId },
             { "kind", KindName(aCommand.mKey.mKind) },
             { "name", aCommand.mKey.mName },
             { "expected", aCommand.mExpectedVersion },
             { "spec", SpecToJson(aCommand.mSpec) } };
  }
  json operator()(const delete_command& aCommand) const
  {
    return { { "type", "delete" },
             { "write_id", aCommand.mWriteId },
             { "kind", KindName(aCommand.mKey.mKind) },
             { "name", aCommand.mKey.mName },
             { "expected", aCommand.mExpectedVersion } };
  }
  json operator()(const claim_command& aCommand) const
  {
    return { { "type", "claim" },
             { "key", aCommand.mKey },
             { "attempt", ToText(aCommand.mAttempt) } };
  }
  json operator()(const release_command& aCommand) const
  {
    return { { "type", "release" },
             { "key", aCommand.mKey },
             { "attempt", ToText(aCommand.mAttempt) } };
  }
  json operator()(const snapshot_command& aCommand) const
  {
    return { { "type", "snapshot" },
             { "at", aCommand.mCoveredOffset },
             { "index", aCommand.mIndex },
             { "count", aCommand.mCount },
             { "entries", aCommand.mEntries } };
  }
};

result<resource_key>
DecodeKey(const json& aJson)
{
  BOOST_OUTCOME_TRY(const resource_kind kind, ParseKind(aJson.at("kind").get<std::string>()));
  return resource_key{ kind, aJson.at("name").get<std::string>() };
}

result<command>
DecodePut(const json& aJson)
{
  BOOST_OUTCOME_TRY(const resource_key key, DecodeKey(aJson));
  finding_list findings;
  BOOST_OUTCOME_TRY(const resource_spec spec, ParseSpec(key.mKind, aJson.at("spec"), findings));
  return command(put_command{ aJson.at("write_id").get<std::string>(),
                              key,
                              aJson.at("expected").get<std::uint64_t>(),
                              spec });
}

result<command>
DecodeDelete(const json& aJson)
{
  BOOST_OUTCOME_TRY(const resource_key key, DecodeKey(aJson));
  return command(delete_command{
    aJson.at("write_id").get<std::string>(), key, aJson.at("expected").get<std::uint64_t>() });
}

/** Decodes a claim_command or a release_command, which have the same members. */
template<typename Command>
result<command>
DecodeKeyCommand(const json& aJson)
{
  BOOST_OUTCOME_TRY(const attempt_id attempt, ParseAttempt(aJson.at("attempt").get<std::string>()));
  return command(Command{ aJson.at("key").get<std::string>(), attempt });
}

result<command>
DecodeSnapshot(const json& aJson)
{
  return command(snapshot_command{ aJson.at("at").get<std::uint64_t>(),
                                   aJson.at("index").get<std::uint32_t>(),
                                   aJson.at("count").get<std::uint32_t>(),
                                   aJson.at("entries").get<std::vector<std::string>>() });
}

} // namespace

std::string
EncodeCommand(const command& aCommand)
{
  return std::visit(command_encoder{}, aCommand).dump();
}

result<command>
DecodeCommand(std::string_view aData)
{
  try {
    const json parsed = json::parse(aData);
    const auto type = parsed.at("type").get<std::string>();
    if (type == "put") {
      return DecodePut(parsed);
    }
    if (type == "delete") {
      return DecodeDelete(parsed);
    }
    if (type == "claim") {
      return DecodeKeyCommand<claim_command>(parsed);
    }
    if (type == "release") {
      return DecodeKeyCommand<release_command>(parsed);
    }
    if (type == "snapshot") {
      return DecodeSnapshot(parsed);
    }
  } catch (const json::exception&) {
    return make_error_code(errc::eBadRequest);
  }
  return make_error_code(errc::eBadRequest);
}

} // namespace dunehook
