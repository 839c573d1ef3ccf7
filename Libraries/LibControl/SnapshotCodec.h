#pragma once

#include <LibControl/State.h>
#include <LibControl/WireTypes.h>

namespace Control {

/// Largest accepted snapshot.
inline constexpr std::size_t maxSnapshotBytes = 1UL << 30;

/// Reads and writes the snapshot of a `State`. The same state always gives the same bytes.
class SnapshotCodec {
public:
    static Bytes encode(State const&);
    /// `into` must be new.
    static Core::Result<Core::Void, DecodeError> decode(std::span<std::byte const>, State& into);

private:
    static void writeServers(Wire::Snapshot::Builder, State const&);
    static void writeSlots(Wire::Snapshot::Builder, State const&);
    static void writeOrders(Wire::Snapshot::Builder, State const&);
    static void writeEdits(Wire::Snapshot::Builder, State const&);
    static void writeRest(Wire::Snapshot::Builder, State const&);
    static void readServers(Wire::Snapshot::Reader, State&, Wire::FieldReader&);
    static void readSlots(Wire::Snapshot::Reader, State&, Wire::FieldReader&);
    static void readOrders(Wire::Snapshot::Reader, State&, Wire::FieldReader&);
    static void readEdits(Wire::Snapshot::Reader, State&, Wire::FieldReader&);
    static void readRest(Wire::Snapshot::Reader, State&, Wire::FieldReader&);
    static void checkOwners(State&, Wire::FieldReader&);
};

} // namespace Control
