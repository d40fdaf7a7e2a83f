#ifndef SOURCE_NET_SSE_BOUNDARY_H_
#define SOURCE_NET_SSE_BOUNDARY_H_

#include <string_view>

namespace cowslip {

/// \class SseBoundary
/// \brief Tells whether a byte stream of server-sent events stands between two
/// events, without keeping any of its bytes.
class SseBoundary {
 public:
  void Feed(std::string_view bytes);
  /// Whether the bytes so far end with a whole event. False before the first.
  bool after_event() const { return m_has_event && !m_in_event; }
  bool in_event() const { return m_in_event; }

 private:
  bool m_line_empty = true;
  bool m_in_event = false;
  bool m_has_event = false;
};

}  // namespace cowslip

#endif  // SOURCE_NET_SSE_BOUNDARY_H_
