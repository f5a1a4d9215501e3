/**
 * @file store.h
 * Stand-in of the platform's store: topics with keys, reads from an offset, conditional appends.
 */
#pragma once

#include "wire.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace stage {

/** The store. It serves for as long as the process runs. */
class store
{
public:
  /** Starts serving at an address of the kernel's choice. */
  explicit store(const std::string& aAddress);

  /** @return where it listens. */
  const std::string& Address() const { return mAddress; }
  /** Writes a record, as the operator and the runners do; an empty value drops the key. */
  void Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue);

private:
  struct record
  {
    std::string mKey;   ///< Its key.
    std::string mValue; ///< Empty if the key was dropped.
  };

  void Accept(int aListener);
  void Serve(int aHandle);
  std::string Answer(const message& aCall);
  std::string Newest(const message& aCall);
  std::string Read(const message& aCall);
  std::string Append(const message& aCall);

  std::string mAddress;                               ///< Where it listens.
  std::mutex mMutex;                                  ///< Guards the topics.
  std::condition_variable mChanged;                   ///< Notified of each record.
  std::map<std::string, std::vector<record>> mTopics; ///< By name, records by offset.
};

} // namespace stage
