#include <LibConfig/SettingsCatalogue.h>

#include <algorithm>

namespace Config {

namespace {

    constexpr std::size_t maxVoters = 7;
    constexpr int renewalsPerLease = 3;
    constexpr int guardShareOfLease = 4;

    class CrossChecker {
    public:
        explicit CrossChecker(DaemonSettings const& settings)
            : settings_(settings)
        {
        }

        std::vector<CrossCheckFault> run()
        {
            checkTiming();
            checkControlPeers();
            checkListeners();
            checkLimits();
            return std::move(faults_);
        }

    private:
        void require(bool holds, CrossCheck rule, std::string_view section, std::string_view key)
        {
            if (!holds)
                faults_.push_back({ rule, section, key });
        }

        void checkTiming()
        {
            auto const& timing = settings_.timing;
            require(timing.viewLease > timing.electionTimeoutMax + 2 * timing.heartbeatInterval,
                CrossCheck::ViewLeaseOutlastsElection, "timing", "view-lease");
            require(timing.electionTimeoutMin < timing.electionTimeoutMax, CrossCheck::ElectionTimeoutsInOrder,
                "timing", "election-timeout-min");
            require(timing.electionTimeoutMin >= renewalsPerLease * timing.raftHeartbeat,
                CrossCheck::ElectionOutlastsRaftHeartbeat, "timing", "raft-heartbeat");
            require(timing.viewLease >= renewalsPerLease * timing.heartbeatInterval, CrossCheck::HeartbeatsPerViewLease,
                "timing", "heartbeat-interval");
            require(timing.grantTimeToLive >= renewalsPerLease * timing.announceInterval,
                CrossCheck::AnnouncementsPerGrant, "timing", "announce-interval");
            require(timing.guardTime * guardShareOfLease <= timing.viewLease, CrossCheck::GuardTimeWithinViewLease,
                "timing", "guard-time");
        }

        void checkControlPeers()
        {
            auto const& peers = settings_.controlPeers;
            auto const& host = settings_.host;
            require(!peers.empty(), CrossCheck::EnoughVoters, "control-peers", "");
            require(peers.empty() || (peers.size() % 2 == 1 && peers.size() <= maxVoters),
                CrossCheck::OddNumberOfVoters, "control-peers", "");
            auto const isSelf = [&](ControlPeer const& peer) {
                return peer.name == host.name && peer.failureDomain == host.failureDomain;
            };
            require(!host.isControl || std::ranges::any_of(peers, isSelf), CrossCheck::OwnNameAmongControlPeers,
                "control-peers", host.name.value);
            for (auto peer = peers.begin(); peer != peers.end(); ++peer) {
                auto const isDistinct = std::ranges::none_of(
                    peers.begin(), peer, [&](ControlPeer const& other) { return other.rpc == peer->rpc; });
                require(isDistinct, CrossCheck::DistinctControlPeers, "control-peers", peer->name.value);
            }
        }

        void checkListeners()
        {
            auto const& listen = settings_.listen;
            auto const& host = settings_.host;
            require(!host.isEntry || listen.caller, CrossCheck::EntryNeedsCallerListener, "listen", "caller");
            require(!host.isEntry || listen.admin, CrossCheck::EntryNeedsAdminListener, "listen", "admin");
            require(
                !host.isControl || listen.operatorApi, CrossCheck::ControlNeedsOperatorListener, "listen", "operator");

            std::vector<std::pair<std::string_view, Core::Endpoint>> seen { { "rpc", listen.rpc } };
            auto const add = [&](std::string_view key, std::optional<Core::Endpoint> const& endpoint) {
                if (!endpoint)
                    return;
                auto const isDistinct
                    = std::ranges::none_of(seen, [&](auto const& other) { return other.second == *endpoint; });
                require(isDistinct, CrossCheck::DistinctListeners, "listen", key);
                seen.emplace_back(key, *endpoint);
            };
            add("caller", listen.caller);
            add("admin", listen.admin);
            add("operator", listen.operatorApi);
        }

        void checkLimits()
        {
            auto const& dispatch = settings_.dispatch;
            auto const& traffic = settings_.traffic;
            require(traffic.maxCallerConnections <= traffic.trafficThreads, CrossCheck::ConnectionsWithinThreads,
                "traffic", "max-caller-connections");
            require(dispatch.maxQueuedPerCaller <= dispatch.maxQueuedRequests, CrossCheck::LimitsInOrder, "dispatch",
                "max-queued-per-caller");
            require(dispatch.retryBackoffMin <= dispatch.retryBackoffMax, CrossCheck::LimitsInOrder, "dispatch",
                "retry-backoff-min");
            require(settings_.consensus.maxAppendBytes <= settings_.consensus.segmentBytes, CrossCheck::LimitsInOrder,
                "consensus", "max-append");
        }

        DaemonSettings const& settings_;
        std::vector<CrossCheckFault> faults_;
    };

} // namespace

std::vector<CrossCheckFault> crossCheck(DaemonSettings const& settings) { return CrossChecker(settings).run(); }

} // namespace Config
