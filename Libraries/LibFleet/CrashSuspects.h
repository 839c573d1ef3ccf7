#pragma once

#include <LibCore/Time.h>
#include <LibFleet/Model.h>

#include <unordered_map>

namespace Fleet {

/// A request that is refused from now on, or no longer.
struct QuarantineDecision {
    std::string fingerprint;
    bool isQuarantined { false };
    /// The number of servers that crashed while they ran the request.
    std::size_t crashedServers { 0 };
};

/// Finds the requests that crash every server that runs them.
///
/// A request whose answer breaks off is suspected, and the crash of its server within some seconds counts against it.
/// Many requests are in progress when a server crashes, and a common one at all servers that crash for another reason.
/// So a request that has crashed two servers is verified first: entry hosts are asked for it, and an answer from any
/// server clears it. It is quarantined if it has crashed three servers and nobody has cleared it. A planned end of a
/// server is no crash.
class CrashSuspects {
public:
    /// An entry host lost the connection to a server that ran the request.
    void suspect(ServerNumber, std::string const& fingerprint, Core::TimePoint now);
    /// A server has answered the request. Lifts its quarantine.
    void clear(std::string const& fingerprint, Core::TimePoint now);
    /// Takes over what an earlier leader had quarantined.
    void adopt(std::string const& fingerprint, Core::TimePoint now);

    /// The process of the server has ended without notice.
    void onCrash(ServerNumber, Core::TimePoint now);
    /// The server has said that it will end.
    void onLeaving(ServerNumber);
    void onRemoved(ServerNumber);

    /// Begins and ends quarantines, and forgets what is out of date.
    void tick(Core::TimePoint now);

    /// Whether a lost request was reported for the server, so that its crash must be noticed.
    std::vector<ServerNumber> suspectedServers() const;
    /// The requests that are being verified.
    std::vector<std::string> suspects() const;
    std::vector<std::string> quarantined() const;
    /// Whether `suspects` or `quarantined` has changed since the last call.
    bool takeChange() { return std::exchange(hasChanged_, false); }
    std::vector<QuarantineDecision> takeDecisions() { return std::exchange(decisions_, {}); }

private:
    struct Suspicion {
        std::string fingerprint;
        Core::TimePoint at;
    };
    struct Record {
        std::set<ServerNumber> crashed;
        Core::TimePoint lastCrash;
        /// When the request began to be verified.
        std::optional<Core::TimePoint> verifiedSince;
        std::optional<Core::TimePoint> quarantinedUntil;
    };

    void recordCrash(std::string const& fingerprint, ServerNumber, Core::TimePoint now);
    void quarantine(std::string const& fingerprint, Record&, Core::TimePoint now);

    std::unordered_map<ServerNumber, std::vector<Suspicion>> suspicions_;
    /// When a server crashed, for hosts that report later.
    std::unordered_map<ServerNumber, Core::TimePoint> crashes_;
    std::set<ServerNumber> leaving_;
    std::map<std::string, Record> records_;
    /// When a request was last cleared. An entry host that was away may still have its quarantine.
    std::map<std::string, Core::TimePoint> cleared_;
    std::vector<QuarantineDecision> decisions_;
    bool hasChanged_ { false };
};

} // namespace Fleet
