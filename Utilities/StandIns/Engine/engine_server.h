#ifndef UTILITIES_STANDINS_ENGINE_ENGINE_SERVER_H_
#define UTILITIES_STANDINS_ENGINE_ENGINE_SERVER_H_

#include <chrono>
#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "Base/endpoint.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Utilities/StandIns/Engine/engine_model.h"

namespace cowslip {

/// \class EngineServerOptions
/// \brief Where the stand-in listens and how it behaves.
struct EngineServerOptions {
  Endpoint listen;
  EngineModelOptions model;
  /// How old the load is that `GET /load` reports.
  Duration load_lag = std::chrono::milliseconds(500);
  /// Applies orders with an old fencing number too.
  bool ignore_fencing = false;
};

/// \class EngineServer
/// \brief The engine stand-in: EngineModel behind HTTP, with faults on
/// request.
///
/// `POST /v1/chat/completions`, `GET /load`, `POST /orders`, and for tests
/// `GET /received`, `GET /stats`, `PUT /faults`. A closed connection cancels
/// its stream.
class EngineServer {
 public:
  EngineServer(boost::asio::io_context& context, EngineServerOptions options);
  ~EngineServer();
  EngineServer(const EngineServer&) = delete;
  EngineServer& operator=(const EngineServer&) = delete;

  /// Opens the port. Errors: kUnavailable.
  Result<void> Start();
  uint16_t port() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_ENGINE_ENGINE_SERVER_H_
