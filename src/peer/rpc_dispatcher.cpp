/**
 * @file rpc_dispatcher.cpp
 * Adapter to libjsonrpccpp. This file is built as C++14.
 */
#include "peer/rpc_dispatcher.h"

#include <jsonrpccpp/server.h>

#include <jsoncpp/json/json.h>

#include <map>

namespace dunehook {

namespace {

/** Stores the response instead of sending it, since peer_listener has its own transport. */
class memory_connector : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void* /*aInfo*/) override
  {
    mResponse = aResponse;
    return true;
  }

  std::string mResponse; ///< The last response.
};

} // namespace

/** Connects the library's protocol handler to the method table. */
class rpc_dispatcher::server : public jsonrpc::IProcedureInvokationHandler
{
public:
  server()
    : mHandler(
        jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
  {
    mConnector.SetHandler(mHandler.get());
  }

  void Add(const std::string& aName, rpc_method aMethod)
  {
    mHandler->AddProcedure(jsonrpc::Procedure(aName,
                                              jsonrpc::PARAMS_BY_NAME,
                                              jsonrpc::JSON_OBJECT,
                                              "message",
                                              jsonrpc::JSON_OBJECT,
                                              NULL)); // NOLINT(modernize-use-nullptr): va_list end
    mMethods[aName] = std::move(aMethod);
  }

  std::string Handle(const std::string& aRequest)
  {
    mConnector.mResponse.clear();
    mConnector.OnRequest(aRequest);
    return mConnector.mResponse;
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    Json::FastWriter writer;
    const std::string message = writer.write(aInput["message"]);
    const std::string answer = mMethods.at(aProcedure.GetProcedureName())(message);
    Json::Reader reader;
    reader.parse(answer, aOutput);
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*aProcedure*/,
                              const Json::Value& /*aInput*/) override
  {
  }

private:
  memory_connector mConnector;                         ///< Receives responses.
  std::unique_ptr<jsonrpc::IProtocolHandler> mHandler; ///< Parses requests.
  std::map<std::string, rpc_method> mMethods;          ///< Methods by name.
};

rpc_dispatcher::rpc_dispatcher()
  : mServer(new server)
{
}

rpc_dispatcher::~rpc_dispatcher() = default;

void
rpc_dispatcher::Add(const std::string& aName, rpc_method aMethod)
{
  mServer->Add(aName, std::move(aMethod));
}

std::string
rpc_dispatcher::Handle(const std::string& aRequest)
{
  return mServer->Handle(aRequest);
}

} // namespace dunehook
