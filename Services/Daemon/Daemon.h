#pragma once

#include "AdminServer.h"
#include "ControlNode.h"
#include "EntryAgent.h"
#include "OperatorAdapter.h"
#include "RemoteOrderGate.h"
#include "TelemetryObserver.h"
#include "UsageReporter.h"

#include <LibCore/OneShotThread.h>
#include <LibOperator/OperatorServer.h>
#include <LibRpc/Listener.h>
#include <LibStorage/RealDisk.h>

namespace Daemon {

struct ListenerFailed {
    Core::Endpoint endpoint;
};
struct LogFailed {
    std::string path;
};
struct UsageFailed {
    std::string path;
};
using StartError = std::variant<ListenerFailed, LogFailed, UsageFailed, Storage::StoreError>;

/// A sentence for people.
std::string describe(StartError const&);

struct StartOptions {
    /// Creates the store of one of the first voters of a new cluster.
    bool bootstraps { false };
    /// Creates an empty store for a control host that replaces another one.
    bool joins { false };
};

/// One running process with its roles. Created, run and destroyed on the control thread.
class Daemon {
public:
    static Core::Result<std::unique_ptr<Daemon>, StartError> start(Config::DaemonSettings const&, StartOptions);
    ~Daemon();
    Daemon(Daemon const&) = delete;
    Daemon& operator=(Daemon const&) = delete;

    /// Runs until a stop is complete.
    void run() { loop_.run(); }
    /// Begins a graceful stop. Called from the signal thread. A second call ends the process without waiting further
    /// for requests in flight.
    void requestStop();

private:
    explicit Daemon(Config::DaemonSettings const&);

    Core::Result<Core::Void, StartError> open(StartOptions);
    Core::Result<Core::Void, StartError> openTelemetry();
    Core::Result<Core::Void, StartError> openControl(StartOptions);
    Core::Result<Core::Void, StartError> openEntry();
    Core::Result<Core::Void, StartError> openListeners();
    void onDispatchAction(GroupId const&, Policy::Action const&);
    void reportCrash(Core::Digest const&, Core::ServerName const&, bool cleared, Core::TimePoint giveUpAt);
    void stopGracefully();
    bool isReady() const;
    std::string exposition();

    Config::DaemonSettings const& settings_;
    Core::SystemClock clock_;
    Core::Incarnation incarnation_;
    Rpc::EventLoop loop_;
    Rpc::Connections connections_;
    std::unique_ptr<Telemetry::EventLog> events_;
    Telemetry::Metrics metrics_;
    std::unique_ptr<Telemetry::SpanWriter> spans_;
    std::unique_ptr<Telemetry::UsageAccount> usage_;
    LeaderLink leader_;

    std::unique_ptr<Storage::RealDisk> disk_;
    std::unique_ptr<ControlNode> control_;

    ViewStore views_;
    std::unique_ptr<DispatchTable> dispatch_;
    std::unique_ptr<EntryAgent> agent_;
    std::unique_ptr<RemoteOrderGate> orders_;
    std::unique_ptr<TelemetryObserver> observer_;
    std::unique_ptr<Proxy::Server> proxy_;
    std::unique_ptr<UsageReporter> usageReporter_;

    std::unique_ptr<Rpc::Listener> rpc_;
    std::unique_ptr<OperatorAdapter> operatorAdapter_;
    std::unique_ptr<Operator::OperatorServer> operatorServer_;
    std::unique_ptr<AdminServer> admin_;
    std::atomic<bool> isStopping_ { false };
    Core::OneShotThread stopThread_;
};

} // namespace Daemon
