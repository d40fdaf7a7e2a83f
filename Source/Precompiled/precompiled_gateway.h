#ifndef SOURCE_PRECOMPILED_PRECOMPILED_GATEWAY_H_
#define SOURCE_PRECOMPILED_PRECOMPILED_GATEWAY_H_

#include "Precompiled/precompiled_network.h"

// Headers of the project that most sources of Gateway include.
#include "Base/event_log.h"
#include "Base/log.h"
#include "Fleet/fleet_configuration.h"
#include "Gateway/dispatcher.h"
#include "Gateway/gateway_context.h"
#include "Gateway/gateway_metrics.h"
#include "Jobs/job_scheduler.h"
#include "Net/http_client.h"
#include "Net/http_exchange.h"
#include "Platform/document_watcher.h"
#include "platform/store_client.h"

#endif  // SOURCE_PRECOMPILED_PRECOMPILED_GATEWAY_H_
