#pragma once

#include <LibConfig/DaemonSettings.h>
#include <LibRpc/Connections.h>
#include <LibTelemetry/UsageAccount.h>

namespace Daemon {

/// Sends the usage that this host counted to the control hosts, so that it outlives this host. Batches are confirmed
/// when a majority of the control hosts has stored them; until then they are sent again. Used on the loop's thread.
class UsageReporter {
public:
    UsageReporter(Config::DaemonSettings const&, Rpc::EventLoop&, Rpc::Connections&, Telemetry::UsageAccount&);
    UsageReporter(UsageReporter const&) = delete;
    UsageReporter& operator=(UsageReporter const&) = delete;

private:
    struct Round;

    void report();
    void finish(Round&);

    Config::DaemonSettings const& settings_;
    Rpc::EventLoop& loop_;
    Rpc::Connections& connections_;
    Telemetry::UsageAccount& usage_;
    bool isRunning_ { false };
};

} // namespace Daemon
