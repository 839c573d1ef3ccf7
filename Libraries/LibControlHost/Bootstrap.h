#pragma once

#include <LibStorage/Store.h>

#include <span>

namespace ControlHost {

struct BootstrapSettings {
    /// The address at which other control hosts reach this host.
    Core::Endpoint address;
    /// The addresses of the initial voters, the same on all hosts at the first start of the system.
    std::vector<Core::Endpoint> founders;
    /// Whether the whole system starts for the first time, with empty disks.
    bool isFirstStart { false };
    /// A new file of the log is started beyond this size. A start holds one file besides the entries.
    std::uint64_t segmentBytes { Storage::defaultSegmentBytes };
};

/// The opened store of this host and the identity that is recorded in it.
struct OpenedStore {
    Core::HostName identity;
    Storage::Store::Opened opened;
};

/// Returns the address that is part of an identity. Empty if the name is not an identity.
std::optional<Core::Endpoint> addressOf(Core::HostName const& identity);

/// Opens the store on the disk, or creates it.
///
/// The group is bootstrapped without messages: at the first start, each founder derives the same initial voters from
/// the addresses. The identity of a founder is created only at that start. A host that finds an empty disk later takes
/// a new random identity and joins the group, so that a host without its disk is never mistaken for one that has
/// recorded its votes.
Core::Result<OpenedStore, Storage::StoreError> openOrBootstrap(Storage::DiskInterface&, BootstrapSettings const&);

} // namespace ControlHost
