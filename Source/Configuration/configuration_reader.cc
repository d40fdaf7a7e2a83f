#include "Configuration/configuration_reader.h"

#include <utility>

#include "Configuration/snapshot_assembler.h"
#include "Platform/object_store.h"

namespace cowslip {

using boost::asio::awaitable;

awaitable<Result<ConfigurationHead>> ReadHead(ObjectStore& store) {
  ObjectKey key(kHeadKey);
  const Result<StoredObject> read = co_await store.Get(std::move(key));
  if (read.has_value()) {
    co_return DecodeHead(read.value().value);
  }
  if (read.error().kind() == ErrorKind::kNotFound) {
    co_return ConfigurationHead();
  }
  co_return read.error();
}

awaitable<Result<ConfigurationInForce>> ReadConfiguration(ObjectStore& store) {
  Result<ConfigurationHead> head = co_await ReadHead(store);
  if (!head.has_value()) {
    co_return head.error();
  }
  SnapshotAssembler assembler;
  for (const Digest& digest : ContentsOf(head.value())) {
    ObjectKey key(kContentPrefix + digest.value());
    Result<StoredObject> read = co_await store.Get(std::move(key));
    if (!read.has_value()) {
      co_return read.error();
    }
    if (!assembler.Add(digest, std::move(read.value().value))) {
      co_return Error(ErrorKind::kMalformedMessage,
                      "Content " + digest.value() +
                          " is damaged in the store. Publish it again.");
    }
  }
  auto assembled = assembler.Build(head.value());
  if (!assembled.has_value()) {
    co_return assembled.error();
  }
  if (!assembled.value().problems.empty()) {
    co_return Error(ErrorKind::kMalformedMessage,
                    assembled.value().problems.front());
  }
  ConfigurationInForce in_force;
  in_force.head = std::move(head.value());
  in_force.snapshot = std::move(assembled.value().snapshot);
  co_return in_force;
}

}  // namespace cowslip
