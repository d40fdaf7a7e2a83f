#include "Placement/backend_directory.h"

#include <utility>

namespace cowslip {

BackendDirectory::BackendDirectory(BackendDirectoryOptions options)
    : m_options(options) {}

std::vector<DirectoryAction> BackendDirectory::Handle(
    const DirectoryEvent& event,
    MonotonicTime now) {
  m_actions.clear();
  std::visit([&](const auto& alternative) { Apply(alternative, now); }, event);
  return std::exchange(m_actions, {});
}

bool BackendDirectory::InGracePeriod(MonotonicTime now) const {
  return m_store_lost || (m_store_regained_at.has_value() &&
                          now < *m_store_regained_at + m_options.grace_period);
}

void BackendDirectory::Upsert(const BackendRecord& record) {
  const auto [entry, is_new] = m_backends.try_emplace(record.id);
  Entry& known = entry->second;
  known.missing = false;
  if (is_new || known.record != record) {
    known.record = record;
    m_actions.push_back(BackendUsable{record});
  }
}

void BackendDirectory::MarkMissingOrRemove(const BackendId& id,
                                           MonotonicTime now) {
  const auto found = m_backends.find(id);
  if (found == m_backends.end()) {
    return;
  }
  if (InGracePeriod(now) && !found->second.record.draining) {
    found->second.missing = true;
    return;
  }
  m_backends.erase(found);
  m_actions.push_back(BackendUnusable{id});
}

void BackendDirectory::Apply(const BackendEntryWritten& event, MonotonicTime) {
  Upsert(event.backend);
}

void BackendDirectory::Apply(const BackendEntryRemoved& event,
                             MonotonicTime now) {
  MarkMissingOrRemove(event.id, now);
}

void BackendDirectory::Apply(const DirectoryStoreLost&, MonotonicTime) {
  m_store_lost = true;
}

void BackendDirectory::Apply(const DirectoryStoreRegained&, MonotonicTime now) {
  if (m_store_lost) {
    m_store_lost = false;
    m_store_regained_at = now;
  }
}

void BackendDirectory::Apply(const DirectoryTick&, MonotonicTime now) {
  if (InGracePeriod(now)) {
    return;
  }
  std::erase_if(m_backends, [&](const auto& entry) {
    if (entry.second.missing) {
      m_actions.push_back(BackendUnusable{entry.first});
    }
    return entry.second.missing;
  });
}

}  // namespace cowslip
