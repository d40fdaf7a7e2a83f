#ifndef SOURCE_NET_GROWING_BODY_H_
#define SOURCE_NET_GROWING_BODY_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/optional.hpp>

#include "Net/beast.h"

namespace cowslip {

/// \class GrowingBody
/// \brief A Beast body that is read into a string. Unlike http::string_body, it
/// takes memory for the bytes that have arrived, not for the length that the
/// peer has announced.
struct GrowingBody {
  using value_type = std::string;

  // Beast looks for a class of this name.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool is_request, class Fields>
    reader(http::header<is_request, Fields>& /*header*/, value_type& body)
        : m_body(body) {}

    void init(const boost::optional<uint64_t>& /*length*/,
              boost::system::error_code& error) {
      error = {};
    }
    template <class Buffers>
    size_t put(const Buffers& buffers, boost::system::error_code& error) {
      for (const auto& buffer : beast::buffers_range_ref(buffers)) {
        m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      error = {};
      return beast::buffer_bytes(buffers);
    }
    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& m_body;
  };
};

}  // namespace cowslip

#endif  // SOURCE_NET_GROWING_BODY_H_
