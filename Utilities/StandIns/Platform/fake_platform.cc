#include "Utilities/StandIns/Platform/fake_platform.h"

#include <algorithm>
#include <utility>

#include "Base/overloaded.h"

namespace cowslip {

namespace {

bool HasPrefix(const ObjectKey& key, const std::string& prefix) {
  return key.value().compare(0, prefix.size(), prefix) == 0;
}

Error Conflict(const ObjectKey& key) {
  return Error(ErrorKind::kConflict,
               "The precondition on " + key.value() +
                   " failed. Read the object again first.");
}

}  // namespace

FakePlatform::FakePlatform(FakePlatformOptions options) : m_options(options) {}

Result<StoredObject> FakePlatform::Get(const ObjectKey& key) const {
  const auto found = m_objects.find(key);
  if (found == m_objects.end()) {
    return Error(ErrorKind::kNotFound,
                 "There is no " + key.value() + ". Write it first.");
  }
  return found->second;
}

Result<void> FakePlatform::CheckPrecondition(
    const ObjectKey& key,
    const Precondition& precondition) const {
  const auto found = m_objects.find(key);
  const bool exists = found != m_objects.end();
  const bool holds = std::visit(
      Overloaded{[](const Unconditional&) { return true; },
                 [&](const IfAbsent&) { return !exists; },
                 [&](const IfVersion& expected) {
                   return exists && found->second.version == expected.version;
                 }},
      precondition);
  if (!holds) {
    return Conflict(key);
  }
  return Ok();
}

Result<ObjectVersion> FakePlatform::Put(const ObjectKey& key,
                                        std::string value,
                                        const Precondition& precondition) {
  if (key.empty()) {
    return Error(ErrorKind::kInvalidArgument, "Name the object.");
  }
  if (value.size() > kMaxObjectBytes) {
    return Error(ErrorKind::kTooLarge,
                 "Split the value of " + key.value() + " into values of at " +
                     "most " + std::to_string(kMaxObjectBytes) + " bytes.");
  }
  const Result<void> allowed = CheckPrecondition(key, precondition);
  if (!allowed.has_value()) {
    return allowed.error();
  }
  ++m_revision;
  const ObjectVersion version = m_revision;
  m_objects[key] = StoredObject{std::move(value), version};
  Record(ObjectChange{key, version});
  return version;
}

Result<void> FakePlatform::Delete(const ObjectKey& key,
                                  const Precondition& precondition) {
  const Result<void> allowed = CheckPrecondition(key, precondition);
  if (!allowed.has_value()) {
    return allowed.error();
  }
  if (m_objects.erase(key) == 0) {
    return Error(ErrorKind::kNotFound, "There is no " + key.value() + ".");
  }
  ++m_revision;
  Record(ObjectChange{key, std::nullopt});
  return Ok();
}

std::vector<ListedObject> FakePlatform::List(const std::string& prefix,
                                             const ObjectKey& after,
                                             size_t limit) const {
  std::vector<ListedObject> listed;
  auto next = m_objects.lower_bound(ObjectKey(prefix));
  if (after >= ObjectKey(prefix)) {
    next = m_objects.upper_bound(after);
  }
  while (next != m_objects.end() && listed.size() < limit &&
         HasPrefix(next->first, prefix)) {
    listed.push_back({next->first, next->second.version});
    ++next;
  }
  return listed;
}

WatchResult FakePlatform::ChangesSince(const std::string& prefix,
                                       ObjectVersion since) const {
  WatchResult result{.revision = m_revision};
  // A revision from the future is of a store that has lost its state.
  result.compacted = since < m_compacted_to || since > m_revision;
  if (result.compacted) {
    return result;
  }
  const auto first =
      std::upper_bound(m_history.begin(), m_history.end(), since,
                       [](ObjectVersion revision, const HistoryEntry& entry) {
                         return revision < entry.revision;
                       });
  for (auto entry = first; entry != m_history.end(); ++entry) {
    if (HasPrefix(entry->change.key, prefix)) {
      result.changes.push_back(entry->change);
    }
  }
  return result;
}

void FakePlatform::Record(ObjectChange change) {
  const ObjectKey key = change.key;
  m_history.push_back({m_revision, std::move(change)});
  if (m_history.size() > m_options.max_history) {
    m_compacted_to = m_history.front().revision;
    m_history.pop_front();
  }
  // A callback may subscribe or unsubscribe.
  const std::map<uint64_t, ChangeCallback> subscriptions = m_subscriptions;
  for (const auto& [number, callback] : subscriptions) {
    if (m_subscriptions.count(number) > 0) {
      callback(key);
    }
  }
}

uint64_t FakePlatform::Subscribe(ChangeCallback callback) {
  const uint64_t subscription = m_next_subscription++;
  m_subscriptions.emplace(subscription, std::move(callback));
  return subscription;
}

void FakePlatform::Unsubscribe(uint64_t subscription) {
  m_subscriptions.erase(subscription);
}

void FakePlatform::SetVms(std::vector<VmRecord> vms, MonotonicTime now) {
  m_vm_lists.push_back({now + m_options.vm_list_lag, std::move(vms)});
  // Only the newest visible list and those not yet visible are of use.
  while (m_vm_lists.size() > 1 && m_vm_lists[1].visible_from <= now) {
    m_vm_lists.pop_front();
  }
}

std::vector<VmRecord> FakePlatform::ListVms(MonotonicTime now) const {
  std::vector<VmRecord> vms;
  for (const VmListVersion& list : m_vm_lists) {
    if (list.visible_from <= now) {
      vms = list.vms;
    }
  }
  return vms;
}

}  // namespace cowslip
