#include "Net/sse_reader.h"

#include <utility>

#include "Base/whole_number.h"

namespace cowslip {

namespace {

// Begins the head of an HTTP response, and no field of an event.
constexpr std::string_view kStatusLineBegin = "HTTP/1.";

}  // namespace

Result<std::vector<std::string>> SseReader::Feed(std::string_view bytes) {
  Result<std::vector<SseEvent>> events = FeedEvents(bytes);
  if (!events.has_value()) {
    return events.error();
  }
  std::vector<std::string> data;
  for (SseEvent& event : events.value()) {
    if (event.data.has_value()) {
      data.push_back(std::move(*event.data));
    }
  }
  return data;
}

Result<std::vector<SseEvent>> SseReader::FeedEvents(std::string_view bytes) {
  std::vector<SseEvent> events;
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    const size_t consumed =
        end == std::string_view::npos ? bytes.size() : end + 1;
    m_event.raw += bytes.substr(0, consumed);
    bytes.remove_prefix(consumed);
    if (m_event.raw.size() > kMaxEventBytes) {
      return Error(ErrorKind::kTooLarge,
                   "The backend server sent an event over the limit. Ask it "
                   "for shorter events.");
    }
    if (end == std::string_view::npos) {
      break;
    }
    std::string_view line(m_event.raw);
    line = line.substr(m_line_begin, line.size() - m_line_begin - 1);
    if (line.starts_with(kStatusLineBegin)) {
      return Error(ErrorKind::kMalformedMessage,
                   "The backend server sent a response inside the events of "
                   "another one. Check that it writes each response once.");
    }
    const bool ended = ParseLine(line);
    m_line_begin = m_event.raw.size();
    if (ended) {
      events.push_back(std::exchange(m_event, SseEvent()));
      ++m_event_count;
      m_line_begin = 0;
    }
  }
  return events;
}

bool SseReader::ParseLine(std::string_view line) {
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    return true;
  }
  const size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  std::string_view value;
  if (colon != std::string_view::npos) {
    value = line.substr(colon + 1);
  }
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (name == "id") {
    m_event.id = ParseWholeNumber(value);
  } else if (name == "data") {
    if (m_event.data.has_value()) {
      *m_event.data += '\n';
      *m_event.data += value;
    } else {
      m_event.data = std::string(value);
    }
  }
  return false;
}

}  // namespace cowslip
