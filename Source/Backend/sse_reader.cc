#include "Backend/sse_reader.h"

#include <utility>

namespace cowslip {

namespace {

constexpr std::string_view kField = "data:";

}  // namespace

Result<std::vector<std::string>> SseReader::Feed(std::string_view bytes) {
  std::vector<std::string> events;
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    m_line += bytes.substr(0, end);
    if (m_line.size() + m_data.size() > kMaxLineBytes) {
      return Error(ErrorKind::kTooLarge,
                   "The backend server sent an event over the limit. Ask it "
                   "for shorter events.");
    }
    if (end == std::string_view::npos) {
      break;
    }
    bytes.remove_prefix(end + 1);
    TakeLine(std::exchange(m_line, std::string()), events);
  }
  return events;
}

void SseReader::TakeLine(std::string line, std::vector<std::string>& events) {
  if (line.ends_with('\r')) {
    line.pop_back();
  }
  if (line.empty()) {
    if (m_has_data) {
      events.push_back(std::exchange(m_data, std::string()));
    }
    m_has_data = false;
    return;
  }
  if (!line.starts_with(kField)) {
    return;
  }
  line.erase(0, kField.size());
  if (line.starts_with(' ')) {
    line.erase(0, 1);
  }
  m_data += m_has_data ? "\n" + line : line;
  m_has_data = true;
}

}  // namespace cowslip
