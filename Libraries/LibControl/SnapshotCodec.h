#pragma once

#include <LibControl/State.h>
#include <LibControl/WireTypes.h>

namespace Control {

/// Maximum size of a snapshot, in bytes.
inline constexpr std::size_t maxSnapshotBytes = 1UL << 30;

/// Encodes and decodes snapshots of a `State`. Equal states have identical encodings.
class SnapshotCodec {
public:
    static Bytes encode(State const&);
    /// Decodes a snapshot into `into`, which must be newly constructed. `into` is unspecified on error.
    static Core::Result<Core::Void, DecodeError> decode(std::span<std::byte const>, State& into);

private:
    static void writeServers(Wire::Snapshot::Builder, State const&);
    static void writeSlots(Wire::Snapshot::Builder, State const&);
    static void writeOrders(Wire::Snapshot::Builder, State const&);
    static void writeEdits(Wire::Snapshot::Builder, State const&);
    static void writeHostsDomainsAndQuarantine(Wire::Snapshot::Builder, State const&);
    static void readServers(Wire::Snapshot::Reader, State&, Wire::FieldReader&);
    static void readSlots(Wire::Snapshot::Reader, State&, Wire::FieldReader&);
    static void readOrders(Wire::Snapshot::Reader, State&, Wire::FieldReader&);
    static void readEdits(Wire::Snapshot::Reader, State&, Wire::FieldReader&);
    static void readHostsDomainsAndQuarantine(Wire::Snapshot::Reader, State&, Wire::FieldReader&);
    static void countOwnedSlots(State&, Wire::FieldReader&);
};

} // namespace Control
