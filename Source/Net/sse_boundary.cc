#include "Net/sse_boundary.h"

namespace cowslip {

void SseBoundary::Feed(std::string_view bytes) {
  for (const char byte : bytes) {
    if (byte != '\n') {
      m_in_event = true;
      // A line may end with a carriage return and a line feed.
      m_line_empty = m_line_empty && byte == '\r';
      continue;
    }
    m_in_event = !m_line_empty;
    m_has_event = m_has_event || m_line_empty;
    m_line_empty = true;
  }
}

}  // namespace cowslip
