#ifndef TESTS_CONFIGURATION_CONFIGURATION_FLEET_H_
#define TESTS_CONFIGURATION_CONFIGURATION_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Base/overloaded.h"
#include "Configuration/configuration_core.h"
#include "configuration_model.h"

namespace cowslip {

/// \class ConfigurationFleet
/// \brief Several cores, a store and a network that the test moves by hand.
class ConfigurationFleet {
 public:
  struct Node {
    std::unique_ptr<ConfigurationCore> core;
    std::shared_ptr<const Snapshot> snapshot;
    std::optional<SavedConfiguration> saved;
    bool has_disk = false;
    bool store_up = true;
    bool paused = false;
    int incarnation = 0;
    std::set<VmId> links;
    size_t watches = 0;
  };

  ConfigurationFleet(size_t count, uint64_t seed) : m_random(seed) {
    for (size_t i = 0; i < count; ++i) {
      m_members.push_back(VmId("entry-" + std::to_string(i)));
    }
    for (const VmId& vm : m_members) {
      Start(vm);
    }
  }

  Node& node(const VmId& vm) { return m_nodes[vm]; }
  const std::vector<VmId>& members() const { return m_members; }
  ConfigurationModel& model() { return m_model; }
  MonotonicTime now() const { return m_now; }
  size_t applied_back() const { return m_applied_back; }
  size_t mismatches() const { return m_mismatches; }
  uint64_t Draw(uint64_t below) { return m_random() % below; }

  /// Loses, doubles and delays messages while set.
  bool lossy = false;
  Duration store_delay = std::chrono::milliseconds(5);

  void Publish() {
    m_model.Publish();
    m_versions.emplace(m_model.head.version, m_model);
    m_head_text = EncodeHead(m_model.head);
  }

  /// Starts a new process on that VM; a saved configuration is read when the
  /// VM has a disk.
  void Start(const VmId& vm) {
    for (const VmId& peer : m_members) {
      CutLink(vm, peer);
    }
    Node& node = m_nodes[vm];
    ++node.incarnation;
    node.snapshot = std::make_shared<const Snapshot>();
    node.paused = false;
    node.core = std::make_unique<ConfigurationCore>(
        ConfigurationCoreOptions{.self = vm, .seed = m_random()});
    Raise(vm, ConfigurationMembersChanged{.members = m_members});
    if (node.has_disk && node.saved) {
      Raise(vm, *node.saved);
    }
  }

  void MakeLink(const VmId& a, const VmId& b) {
    if (a != b && m_nodes[a].links.insert(b).second) {
      m_nodes[b].links.insert(a);
      Raise(a, ConfigurationPeerUp{.vm = b});
      Raise(b, ConfigurationPeerUp{.vm = a});
    }
  }
  void CutLink(const VmId& a, const VmId& b) {
    if (m_nodes[a].links.erase(b) != 0) {
      m_nodes[b].links.erase(a);
      Raise(a, ConfigurationPeerDown{.vm = b});
      Raise(b, ConfigurationPeerDown{.vm = a});
    }
  }
  void LinkAll() {
    for (const VmId& a : m_members) {
      for (const VmId& b : m_members) {
        MakeLink(a, b);
      }
    }
  }

  /// Moves the clock in steps of one tick.
  void Run(Duration duration) {
    constexpr Duration kStep = std::chrono::milliseconds(50);
    const MonotonicTime end = m_now + duration;
    while (m_now < end) {
      m_now += kStep;
      Deliver();
      for (const VmId& vm : m_members) {
        Raise(vm, ConfigurationTick{});
      }
    }
  }

 private:
  using Work = std::function<void()>;

  void Deliver() {
    while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
      const Work work = std::move(m_queue.begin()->second);
      m_queue.erase(m_queue.begin());
      work();
    }
  }

  void After(Duration delay, Work work) {
    m_queue.emplace(m_now + delay, std::move(work));
  }

  void Raise(const VmId& vm, const ConfigurationEvent& event) {
    Node& node = m_nodes[vm];
    if (node.core == nullptr || node.paused) {
      return;
    }
    for (const ConfigurationAction& action : node.core->Handle(event, m_now)) {
      std::visit([&](const auto& each) { Do(vm, each); }, action);
    }
  }

  // Raises an answer at the process that asked for it.
  void Answer(const VmId& vm, Duration delay, ConfigurationEvent event) {
    const int incarnation = m_nodes[vm].incarnation;
    After(delay, [this, vm, incarnation, event = std::move(event)] {
      if (m_nodes[vm].incarnation == incarnation) {
        Raise(vm, event);
      }
    });
  }

  void Do(const VmId& vm, const FetchHead&) {
    if (!m_nodes[vm].store_up) {
      Answer(vm, store_delay, HeadFetchFailed{});
    } else if (m_head_text.empty()) {
      Answer(vm, store_delay, HeadAbsent{});
    } else {
      Answer(vm, store_delay,
             HeadFromStore{.text = m_head_text, .version = Revision()});
    }
  }
  void Do(const VmId& vm, const WatchHead& action) {
    ++m_nodes[vm].watches;
    PollWatch(vm, m_nodes[vm].incarnation, action.since,
              m_now + std::chrono::seconds(20));
  }
  void PollWatch(const VmId& vm,
                 int incarnation,
                 ObjectVersion since,
                 MonotonicTime deadline) {
    After(store_delay, [=, this] {
      Node& node = m_nodes[vm];
      if (node.incarnation != incarnation) {
        return;
      }
      if (!node.store_up) {
        Raise(vm, WatchFailed{});
      } else if (Revision() > since || m_now >= deadline) {
        Raise(vm, WatchReturned{.revision = Revision(),
                                .changed = Revision() > since});
      } else {
        PollWatch(vm, incarnation, since, deadline);
      }
    });
  }
  void Do(const VmId& vm, const FetchContent& action) {
    if (!m_nodes[vm].store_up || (lossy && Draw(4) == 0)) {
      Answer(vm, store_delay, ContentFetchFailed{.digest = action.digest});
      return;
    }
    std::string bytes = m_model.contents.at(action.digest);
    if (lossy && Draw(8) == 0) {
      bytes += " damaged";
    }
    Answer(vm, store_delay,
           ContentArrived{.digest = action.digest, .bytes = bytes});
  }
  void Do(const VmId& vm, const SendConfigurationPeer& action) {
    const size_t copies = lossy ? Draw(3) : 1;
    for (size_t i = 0; i < copies; ++i) {
      const Duration delay =
          std::chrono::milliseconds(1 + (lossy ? Draw(400) : 0));
      const VmId to = action.vm;
      After(delay, [this, vm, to, message = action.message] {
        if (m_nodes[vm].links.count(to) != 0) {
          Raise(to, ConfigurationPeerMessage{.vm = vm, .message = message});
        }
      });
    }
  }
  void Do(const VmId& vm, const ApplySnapshot& action) {
    Node& node = m_nodes[vm];
    m_applied_back +=
        action.snapshot->version() <= node.snapshot->version() ? 1 : 0;
    const auto version = m_versions.find(action.snapshot->version());
    const bool known = version != m_versions.end();
    m_mismatches += known && version->second.Matches(*action.snapshot) ? 0 : 1;
    node.snapshot = action.snapshot;
  }
  void Do(const VmId& vm, const SaveConfiguration& action) {
    m_nodes[vm].saved = action.saved;
  }
  void Do(const VmId&, const ReportProblem&) {}

  ObjectVersion Revision() const {
    return ObjectVersion(m_model.head.version.value());
  }

  std::mt19937_64 m_random;
  MonotonicTime m_now;
  std::vector<VmId> m_members;
  std::map<VmId, Node> m_nodes;
  std::multimap<MonotonicTime, Work> m_queue;
  ConfigurationModel m_model;
  std::map<ConfigVersion, ConfigurationLists> m_versions;
  std::string m_head_text;
  size_t m_applied_back = 0;
  size_t m_mismatches = 0;
};

}  // namespace cowslip

#endif  // TESTS_CONFIGURATION_CONFIGURATION_FLEET_H_
