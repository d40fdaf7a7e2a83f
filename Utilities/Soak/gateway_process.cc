#include "Utilities/Soak/gateway_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <utility>

#include "review/harness/harness.h"

namespace soak {

namespace {

// The first of 18 ports; each gateway has an address of its own.
constexpr uint16_t kFrontPort = 21000;

}  // namespace

GatewayProcess::GatewayProcess(Options options)
    : m_options(std::move(options)) {}

GatewayProcess::~GatewayProcess() {
  Kill();
}

uint16_t GatewayProcess::front() const {
  return kFrontPort;
}

void GatewayProcess::Start() {
  const std::string settings =
      m_options.folder + "/" + m_options.name + ".conf";
  const std::string& ip = m_options.ip;
  const auto port = [](int offset) {
    return std::to_string(kFrontPort + offset);
  };
  // The sheet of namu-veneer, without its storage VMs.
  std::ofstream(settings)
      << "node_name=" << m_options.name
      << "\nrole=entry\nmachine_class=edge\nserves=edge\nip=" << ip
      << "\nzone=z\nregion=r\nzones.z=r\nlisten.front=" << ip << ":" << port(0)
      << "\nlisten.ready=" << ip << ":" << port(1)
      << "\ninternal_ports=" << port(2) << "," << port(17)
      << "\nbootstrap=" << (m_starts == 0 ? "true" : "false")
      << "\nloss_counted=false\nlimits.cpu_share=0.19\nlimits.cpu_cores=1\n"
         "limits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n"
         "limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n"
         "contracts=base,drain,config,cost,recover,batch,stream,engine,tenants,"
         "quota,platform\nfault_tolerance.machines=1\nfault_tolerance.zones=0\n"
         "fault_tolerance.regions=0\nbounds.seed_lag_s=3\n"
         "bounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n"
         "bounds.catch_up_s=4.6\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
         "bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
         "bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\n"
         "bounds.strict_revoke=false\nbounds.revoke_ms=5000\n"
         "bounds.quota_window_s=5\nbounds.quota_overage=0.1\n"
         "bounds.quota_slack=20\nbounds.recover_s=12\nbounds.pass_ms=120\n"
         "bounds.retry_after_s=0\nbounds.finish_s=18\nbounds.status_s=120\n"
         "bounds.cancel_ms=3000\nbounds.settle_ms=1000\nplatform.address="
      << m_options.store
      << "\nplatform.form=objects\nplatform.writes_per_s=400\n"
         "platform.reads_per_s=2000\nplatform.history_s=20\n"
         "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
  const std::string log = m_options.folder + "/" + m_options.name + "." +
                          std::to_string(++m_starts) + ".log";
  const std::string variable = "COWSLIPHOLLOW_NODE_FILE=" + settings;
  const std::string home = "HOME=" + m_options.folder;
  const pid_t parent = getpid();
  m_pid = fork();
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    const char* const arguments[] = {m_options.program.c_str(), "entry",
                                     nullptr};
    const char* const environment[] = {"PATH=/usr/bin:/bin", home.c_str(),
                                       "LANG=C", variable.c_str(), nullptr};
    execve(arguments[0], const_cast<char* const*>(arguments),
           const_cast<char* const*>(environment));
    _exit(127);
  }
}

void GatewayProcess::Signal(int signal) {
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

void GatewayProcess::Kill() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }
}

bool GatewayProcess::Runs() {
  if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
    m_pid = -1;
  }
  return m_pid > 0;
}

bool GatewayProcess::IsReady() const {
  const auto connection = review::Connect(ip(), kFrontPort + 1);
  review::Message answer;
  return connection != nullptr &&
         connection->Write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         connection->ReadMessage(answer, true, 1) && answer.status() == 200;
}

}  // namespace soak
