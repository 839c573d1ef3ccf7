#include "Bench.h"

#include <LibControl/BalancedPlacement.h>
#include <LibControl/Leader.h>

#include <algorithm>
#include <cstdio>
#include <functional>

namespace Bench {

namespace {

    using namespace Control;
    using namespace std::chrono_literals;

    struct Sizes {
        std::uint32_t servers { 300 };
        std::uint32_t slots { 10'000 };
        std::uint32_t hosts { 100 };
    };

    /// Median CPU time of one call, in microseconds.
    double timed(std::size_t rounds, std::function<void()> const& call)
    {
        std::vector<double> times;
        for (std::size_t i = 0; i < rounds; ++i) {
            auto const began = cpuMicroseconds();
            call();
            times.push_back(cpuMicroseconds() - began);
        }
        return quantile(times, 0.5);
    }

    Routing::BackendServer server(std::uint32_t index)
    {
        return { .name = { "backend-" + std::to_string(100'000 + index) },
            .pool = { "letter" },
            .endpoint = { "10.0.0.1", 8000 },
            .failureDomain = { std::to_string(index % 3) },
            .incarnation = { 1 },
            .slots = 4,
            .connections = 100,
            .checksFencing = true };
    }

    Routing::EntryHost host(std::uint32_t index)
    {
        return { .name = { "entry-" + std::to_string(100'000 + index) },
            .rpcEndpoint = { "10.0.1.1", 7000 },
            .failureDomain = { std::to_string(index % 3) },
            .incarnation = { 1 } };
    }

    /// A state of the given sizes, driven by its leader until each slot has an owner.
    class Rig {
    public:
        explicit Rig(Sizes sizes)
            : sizes_(sizes)
        {
            Routing::RouteDefinition route { .name = { "letters" }, .pool = { "letter" }, .pathPrefix = "/letters" };
            route.key = Routing::KeyFromPathSegment { 1 };
            CompleteTables const tables {
                { { .name = { "letter" }, .kind = Routing::PoolKind::KeyPartitioned, .slotCount = sizes.slots } },
                { route }
            };
            apply(SubmitEdit { { "first" }, {}, "operator", 0, tables });
            for (std::uint32_t i = 0; i < sizes.servers; ++i)
                apply(RegisterServer { server(i) });
            for (std::uint32_t i = 0; i < sizes.hosts; ++i)
                apply(JoinEntryHost { host(i) });
            step(BecameLeader { 1 });
            for (auto i = 0; i < 12; ++i)
                round();
        }

        Outcome apply(Command const& command) { return state.apply(state.appliedIndex() + 1, command); }

        void step(Event const& event)
        {
            auto hasApplied = false;
            for (auto& action : leader.step(now, event)) {
                if (auto* proposal = std::get_if<Propose>(&action)) {
                    apply(proposal->command);
                    hasApplied = true;
                }
            }
            if (hasApplied)
                step(StateApplied {});
        }

        Heartbeat heartbeat(std::uint32_t index)
        {
            Heartbeat heartbeat { .host = host(index), .sequence = ++sequence_, .appliedVersion = state.viewVersion() };
            for (auto i = index; i < sizes_.servers; i += sizes_.hosts)
                heartbeat.announcements.push_back({ .server = server(i) });
            return heartbeat;
        }

        /// One heartbeat interval of all hosts.
        void round()
        {
            now += 300ms;
            step(QuorumContact { now });
            for (std::uint32_t i = 0; i < sizes_.hosts; ++i)
                step(heartbeat(i));
            step(Tick {});
        }

        State state;
        Leader leader { state, std::make_unique<BalancedPlacement>() };
        Core::TimePoint now { 1h };

    private:
        Sizes sizes_;
        std::uint64_t sequence_ { 0 };
    };

    std::size_t viewBytes(Routing::View const& view)
    {
        std::size_t bytes = view.servers.size() * sizeof(Routing::BackendServer)
            + view.entryHosts.size() * sizeof(Routing::EntryHost);
        for (auto const& [pool, assignments] : view.slots)
            bytes += assignments.size() * sizeof(Routing::SlotAssignment);
        return bytes;
    }

    AssignSlots reassignment(Rig& rig, Sizes const& sizes)
    {
        auto const& records = rig.state.findSlots({ "letter" })->records();
        AssignSlots assign { { "letter" }, {}, rig.state.viewVersion() };
        for (std::uint32_t slot = 0; slot < std::min<std::uint32_t>(sizes.slots, 1'000); ++slot)
            assign.slots.push_back({ { slot }, records[slot].epoch, { server(slot % sizes.servers).name.value },
                ReleaseBasis::Confirmed });
        return assign;
    }

    void printRow(Sizes const& sizes)
    {
        Rig rig(sizes);
        auto const view = timed(9, [&] { std::ignore = rig.state.buildView(); });
        Bytes snapshot;
        auto const snapshotTime = timed(5, [&] { snapshot = rig.state.snapshot(); });
        State other;
        auto const restoreTime = timed(3, [&] { std::ignore = other.restore(snapshot); });
        auto const assign = reassignment(rig, sizes);
        Bytes encoded;
        auto const encodeTime = timed(9, [&] { encoded = encodeCommand(assign); });
        auto const heartbeatTime = [&] {
            auto const heartbeat = rig.heartbeat(0);
            return timed(99, [&] { rig.step(heartbeat); });
        }();
        auto const tickTime = timed(99, [&] {
            rig.now += 5ms;
            rig.step(QuorumContact { rig.now });
            rig.step(Tick {});
        });
        auto const balanceTime = timed(9, [&] {
            rig.round();
            rig.now += 1s;
            rig.step(QuorumContact { rig.now });
            rig.step(Tick {});
        });
        auto const interval = timed(9, [&] { rig.round(); });
        std::printf("| %u | %u | %u | %.0f | %zu | %.0f | %.0f | %zu | %.1f | %zu | %.1f | %.1f | %.0f | %.1f |\n",
            sizes.servers, sizes.slots, sizes.hosts, view, viewBytes(rig.state.buildView()) / 1024, snapshotTime,
            restoreTime, snapshot.size() / 1024, encodeTime / static_cast<double>(assign.slots.size()) * 1'000,
            encoded.size() / assign.slots.size(), heartbeatTime, tickTime, balanceTime, interval * 100 / 300'000);
        std::fflush(stdout);
    }

    void printOrders()
    {
        constexpr std::uint64_t orders = 100'000;
        State state;
        std::ignore = state.apply(1, JoinEntryHost { host(0) });
        std::uint64_t index = 1;
        auto const key = [](std::uint64_t i) {
            return OrderKey { { "letters" }, { "caller-7" }, "5f1c2a90-0000-4000-8000-" + std::to_string(i) };
        };
        std::size_t bytes = 0;
        std::size_t completeBytes = 0;
        auto const claims = timed(1, [&] {
            for (std::uint64_t i = 0; i < orders; ++i)
                std::ignore = state.apply(++index, ClaimOrder { key(i), { i, i }, { i, i }, host(0).name, { 1 } });
        });
        auto const completes = timed(1, [&] {
            for (std::uint64_t i = 0; i < orders; ++i)
                std::ignore = state.apply(++index,
                    CompleteOrder { key(i), { i, i }, KeptAnswer { 200, "text/plain", std::string(200, 'b') } });
        });
        auto const codec = timed(1, [&] {
            for (std::uint64_t i = 0; i < orders; ++i) {
                auto const encoded = encodeCommand(ClaimOrder { key(i), { i, i }, { i, i }, host(0).name, { 1 } });
                bytes = encoded.size();
                std::ignore = decodeCommand(encoded);
            }
        });
        completeBytes
            = encodeCommand(CompleteOrder { key(0), { 1, 1 }, KeptAnswer { 200, "text/plain", std::string(200, 'b') } })
                  .size();
        auto const snapshot = state.snapshot().size();
        auto const perOrder = [&](double total) { return total / static_cast<double>(orders); };
        std::printf(
            "\nOrders, %llu records: claim %.2f us, complete %.2f us, encode and decode of a claim %.2f us; claim "
            "%zu bytes, complete with an answer of 200 bytes %zu bytes, record in the snapshot %zu bytes.\n",
            static_cast<unsigned long long>(orders), perOrder(claims), perOrder(completes), perOrder(codec), bytes,
            completeBytes, snapshot / orders);
    }

} // namespace

void runCost()
{
    std::printf("| servers | slots | entry hosts | buildView (us) | view (KiB) | snapshot (us) | restore (us) | "
                "snapshot (KiB) | encode assign (ns/slot) | assign (bytes/slot) | heartbeat (us) | tick (us) | "
                "balance tick (us) | all heartbeats (%% of a core) |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    printRow({});
    printRow({ .servers = 30 });
    printRow({ .servers = 3'000 });
    printRow({ .slots = 1'000 });
    printRow({ .slots = 100'000 });
    printRow({ .hosts = 10 });
    printRow({ .hosts = 1'000 });
    printRow({ .servers = 3'000, .slots = 100'000, .hosts = 1'000 });
    printOrders();
}

} // namespace Bench
