/**
 * @file rpc_dispatcher.h
 * Dispatch of JSON-RPC 2.0 calls of other daemons by libjsonrpccpp. The library's headers compile
 * only as C++14, so only rpc_dispatcher.cpp, which is built as C++14, includes them.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dunehook {

/** Handler of a method. @param aMessage JSON text. @return the result as JSON text. */
using rpc_method = std::function<std::string(const std::string& aMessage)>;

/** Executes JSON-RPC requests with the methods registered by name. */
class rpc_dispatcher
{
public:
  rpc_dispatcher();
  ~rpc_dispatcher();
  rpc_dispatcher(const rpc_dispatcher&) = delete;
  rpc_dispatcher& operator=(const rpc_dispatcher&) = delete;

  /** Adds a method that takes one object named "message" and returns an object. */
  void Add(const std::string& aName, rpc_method aMethod);

  /** @return the JSON-RPC response; an error response if the request can't be parsed. */
  std::string Handle(const std::string& aRequest);

private:
  class server;
  std::unique_ptr<server> mServer; ///< Hides the library's types.
};

} // namespace dunehook
