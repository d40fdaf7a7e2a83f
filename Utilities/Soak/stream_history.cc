#include "Utilities/Soak/stream_history.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <sstream>

#include "Utilities/Soak/backend.h"
#include "Utilities/Soak/run_log.h"

namespace soak {

namespace {

std::string Time(double seconds) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", seconds);
  return text;
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  size_t at = 0;
  while (at < text.size()) {
    const size_t end = std::min(text.find(separator, at), text.size());
    parts.push_back(text.substr(at, end - at));
    at = end + 1;
  }
  return parts;
}

// The order of numbers, which must count from 1.
void CheckOrder(const std::vector<StreamEvent>& events,
                const std::string& path,
                std::set<std::string>& broken) {
  uint64_t last = 0;
  for (const StreamEvent& event : events) {
    if (event.path != path) {
      broken.insert("other-request");
    }
    if (event.number <= last) {
      broken.insert("repeated");
    } else if (event.number > last + 1) {
      broken.insert("missing");
    }
    last = event.number;
  }
}

// Whether the store named the version of the event's run when it began.
bool IsListed(RunLog& runs,
              const std::vector<StreamAttempt>& attempts,
              const StreamEvent& event) {
  for (const RunRecord& run : runs.Of(attempts[event.attempt].id)) {
    if (run.backend + "." + std::to_string(run.incarnation) == event.backend) {
      return run.is_listed;
    }
  }
  return true;
}

}  // namespace

std::optional<StreamEvent> ParseEventData(const std::string& data) {
  const std::vector<std::string> parts = Split(data, '|');
  if (parts.size() != 4) {
    return std::nullopt;
  }
  return StreamEvent{.number = std::strtoull(parts[3].c_str(), nullptr, 10),
                     .path = parts[0],
                     .version = parts[1],
                     .backend = parts[2]};
}

std::vector<std::string> StreamHistory::Broken(RunLog& runs) const {
  std::set<std::string> broken;
  CheckOrder(events, path, broken);
  for (size_t i = 1; i < events.size(); ++i) {
    const StreamEvent& before = events[i - 1];
    const StreamEvent& event = events[i];
    const bool same_response = before.attempt == event.attempt;
    if (event.version != before.version) {
      const bool late =
          !IsListed(runs, attempts, before) || !IsListed(runs, attempts, event);
      broken.insert(std::string(same_response ? "joined-in-response"
                                              : "joined-at-resumption") +
                    (late ? "-entry-late" : ""));
    }
    if (!may_resume && event.backend != before.backend) {
      broken.insert("two-runs");
    }
  }
  if (is_complete && events.size() < EventCount(path)) {
    // Whether the backend server broke off a response that ends with its
    // connection, without a reset.
    std::string why = "truncated";
    for (const RunRecord& run : runs.Of(attempts.back().id)) {
      if (run.framing == "ends with its connection" &&
          run.last < EventCount(path) &&
          run.last == (events.empty() ? 0 : events.back().number)) {
        why += run.end.find("RST") != std::string::npos
                   ? "-after-RST-without-length"
                   : "-after-FIN-without-length";
        break;
      }
    }
    broken.insert(why);
  }
  return {broken.begin(), broken.end()};
}

std::string StreamHistory::Text(RunLog& runs) const {
  std::ostringstream text;
  text << "stream " << path << " of " << EventCount(path) << " events, "
       << (may_resume ? "resumable" : "not resumable") << ", "
       << (is_complete ? "complete" : "not complete") << " for the client\n";
  for (size_t i = 0; i < attempts.size(); ++i) {
    const StreamAttempt& attempt = attempts[i];
    text << "  attempt " << i + 1 << " " << attempt.id << " at "
         << attempt.gateway << ", " << Time(attempt.sent) << " to "
         << Time(attempt.ended) << ", Last-Event-Id " << attempt.last_event
         << ", status " << attempt.status << ", " << attempt.end << "\n";
    for (const RunRecord& run : runs.Of(attempt.id)) {
      text << "    run at " << run.Text() << "\n";
    }
    std::string line;
    const StreamEvent* before = nullptr;
    for (const StreamEvent& event : events) {
      if (event.attempt != i) {
        continue;
      }
      if (before == nullptr || before->version != event.version ||
          before->backend != event.backend) {
        line += " [" + event.version + " " + event.backend + " from " +
                Time(event.at) + "]";
      }
      line += " " + std::to_string(event.number);
      before = &event;
    }
    text << "    events:" << line << "\n";
  }
  return text.str();
}

std::vector<std::string> BrokenOutput(const std::string& path,
                                      const std::string& output) {
  std::set<std::string> broken;
  std::vector<StreamEvent> events;
  for (const std::string& line : Split(output, '\n')) {
    const auto event = ParseEventData(line);
    if (!event.has_value()) {
      broken.insert("unreadable");
      continue;
    }
    if (!events.empty() && events.back().version != event->version) {
      broken.insert("joined");
    }
    events.push_back(*event);
  }
  CheckOrder(events, path, broken);
  if (events.size() < EventCount(path)) {
    broken.insert("truncated");
  }
  return {broken.begin(), broken.end()};
}

}  // namespace soak
