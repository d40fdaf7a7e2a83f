#include "Tests/PlatformAdapter/gated_store.h"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cowslip {

using boost::asio::awaitable;

void GatedStore::Advance(size_t index) {
  m_pending.at(index).gate->cancel();
  RunReady();
}

void GatedStore::Complete(size_t index) {
  const uint64_t id = m_pending.at(index).id;
  Advance(index);
  const auto at =
      std::find_if(m_pending.begin(), m_pending.end(),
                   [&](const PendingCall& call) { return call.id == id; });
  Advance(at - m_pending.begin());
}

void GatedStore::RunReady() {
  m_context.restart();
  m_context.poll();
}

awaitable<void> GatedStore::PassGate(uint64_t id) {
  boost::asio::steady_timer gate(m_context);
  gate.expires_at(boost::asio::steady_timer::time_point::max());
  const auto before =
      std::find_if(m_pending.begin(), m_pending.end(),
                   [&](const PendingCall& call) { return call.id > id; });
  m_pending.insert(before, {id, &gate});
  boost::system::error_code ignored;
  co_await gate.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  std::erase_if(m_pending,
                [&](const PendingCall& call) { return call.id == id; });
}

awaitable<Result<DocumentPage>> GatedStore::List(DocumentKind kind,
                                                 DocumentName after) {
  const uint64_t id = ++m_calls;
  co_await PassGate(id);
  Result<DocumentPage> page =
      co_await m_store.List(std::move(kind), std::move(after));
  co_await PassGate(id);
  co_return page;
}

awaitable<Result<DocumentChanges>> GatedStore::Watch(DocumentKind kind,
                                                     ObjectVersion since,
                                                     Duration wait) {
  const uint64_t id = ++m_calls;
  co_await PassGate(id);
  Result<DocumentChanges> changes =
      co_await m_store.Watch(std::move(kind), since, wait);
  if (std::exchange(m_lose_next, false) && changes.has_value()) {
    changes.value().changes.clear();
  }
  co_await PassGate(id);
  co_return changes;
}

awaitable<Result<Document>> GatedStore::Get(DocumentKind kind,
                                            DocumentName name) {
  return m_store.Get(std::move(kind), std::move(name));
}

awaitable<Result<Document>> GatedStore::Create(DocumentKind kind,
                                               DocumentName name,
                                               nlohmann::json content) {
  return m_store.Create(std::move(kind), std::move(name), std::move(content));
}

awaitable<Result<Document>> GatedStore::Replace(DocumentKind kind,
                                                DocumentName name,
                                                nlohmann::json content,
                                                ObjectVersion expected) {
  return m_store.Replace(std::move(kind), std::move(name), std::move(content),
                         expected);
}

awaitable<Result<Document>> GatedStore::ReplaceStatus(DocumentKind kind,
                                                      DocumentName name,
                                                      nlohmann::json status,
                                                      ObjectVersion expected) {
  return m_store.ReplaceStatus(std::move(kind), std::move(name),
                               std::move(status), expected);
}

awaitable<Result<void>> GatedStore::Remove(DocumentKind kind,
                                           DocumentName name) {
  return m_store.Remove(std::move(kind), std::move(name));
}

awaitable<Result<void>> GatedStore::RemoveAt(DocumentKind kind,
                                             DocumentName name,
                                             ObjectVersion expected) {
  return m_store.RemoveAt(std::move(kind), std::move(name), expected);
}

}  // namespace cowslip
