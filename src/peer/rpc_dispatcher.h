/**
 * @file rpc_dispatcher.h
 * JSON-RPC 2.0 calls of other daemons, taken apart and answered by libjsonrpccpp. The library's
 * headers compile only as C++14, so nothing of them shows here and only rpc_dispatcher.cpp, which
 * is built as C++14, includes them.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dunehook {

/** Answers a method: JSON text of the parameters in, JSON text of the result out. */
using rpc_method = std::function<std::string(const std::string& aMessage)>;

/** Methods by name, called by JSON-RPC requests. */
class rpc_dispatcher
{
public:
  rpc_dispatcher();
  ~rpc_dispatcher();
  rpc_dispatcher(const rpc_dispatcher&) = delete;
  rpc_dispatcher& operator=(const rpc_dispatcher&) = delete;

  /** Adds a method that takes one object named "message" and returns an object. */
  void Add(const std::string& aName, rpc_method aMethod);

  /** @return the JSON-RPC response to a request, an error response if it can't be read. */
  std::string Handle(const std::string& aRequest);

private:
  class server;
  std::unique_ptr<server> mServer; ///< The library's side.
};

} // namespace dunehook
