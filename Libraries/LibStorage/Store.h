#pragma once

#include <LibConsensus/Actions.h>
#include <LibStorage/StoreError.h>

#include <memory>
#include <optional>
#include <span>

namespace Storage {

inline constexpr std::uint64_t defaultSegmentBytes = std::uint64_t { 16 } << 20;

struct StoreSettings {
    Core::ClusterId clusterId;
    Core::HostName host;
    /// A new file of the log is started beyond this size.
    std::uint64_t segmentBytes { defaultSegmentBytes };
};

/// What was found on opening a store, for the log of events.
struct RecoveryReport {
    std::uint64_t entries { 0 };
    std::uint64_t bytesRead { 0 };
    /// Bytes of an unfinished write that were cut off the end of the log.
    std::uint64_t tornBytes { 0 };
    /// Why the state that was read could not be made durable. Empty if it is durable.
    std::optional<StoreError> failure;
};

/// The durable state of one control host. Every call blocks; meant for one storage thread. The disk must outlive it.
class Store {
public:
    struct Opened {
        std::unique_ptr<Store> store;
        Consensus::RecoveredState state;
        RecoveryReport report;
    };

    /// Makes a store with the given state in a directory that holds none: `Consensus::bootstrapState` for the first
    /// voters of a new cluster, an empty state for a host that joins. A crash leaves either no store or a whole one.
    static Core::Result<Core::Void, StoreError> create(
        DiskInterface&, StoreSettings const&, Consensus::RecoveredState const&);

    /// Locks the directory, checks its identity and reads the state. A torn write at the end of the log is dropped; any
    /// other damage is an error. `state.isDurable` is false if the state could be read but the disk accepts no writes;
    /// the store then is in the state after a failed `persist`.
    static Core::Result<Opened, StoreError> open(DiskInterface&, StoreSettings const&);

    ~Store();
    Store(Store const&) = delete;
    Store& operator=(Store const&) = delete;

    /// Makes all requests durable, with one fsync for each few megabytes and for each snapshot, and returns the
    /// last sequence. After
    /// an error, every later call fails with the same error until one includes a request with
    /// `PersistRequest::replacesAll`, which makes the requests before it superfluous.
    Core::Result<Consensus::PersistSequence, StoreError> persist(std::span<Consensus::PersistRequest const>);

    /// Bytes written to the log and to snapshots since the store was opened.
    std::uint64_t bytesWritten() const;

private:
    class Engine;
    explicit Store(std::unique_ptr<Engine>);

    std::unique_ptr<Engine> engine_;
};

} // namespace Storage
