#ifndef SOURCE_BATCH_INPUT_READER_H_
#define SOURCE_BATCH_INPUT_READER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Base/result.h"
#include "Batch/batch_input.h"
#include "Batch/batch_messages.h"

namespace cowslip {

class ObjectStore;

/// \class InputReader
/// \brief Reads items of accepted jobs from their input segments, and caches
/// the most recently used segments.
class InputReader {
 public:
  InputReader(boost::asio::io_context& context,
              ObjectStore& store,
              uint32_t partitions,
              size_t max_segments);
  ~InputReader();

  /// Reads one item. Errors: those of ObjectStore::Get; kMalformedMessage.
  boost::asio::awaitable<Result<BatchItem>> Read(const JobHeader& header,
                                                 uint32_t item);

 private:
  struct Segment;

  boost::asio::awaitable<void> Load(std::string key,
                                    std::shared_ptr<Segment> segment);
  std::shared_ptr<Segment> FindOrCreate(const std::string& key, bool& created);

  boost::asio::io_context& m_context;
  ObjectStore& m_store;
  const uint32_t m_partitions;
  const size_t m_max_segments;
  std::map<std::string, std::shared_ptr<Segment>> m_segments;
  // Most recently used first.
  std::list<std::string> m_lru_keys;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_INPUT_READER_H_
