#pragma once

#include <LibStorage/Store.h>

#include <span>

namespace ControlHost {

struct BootstrapSettings {
    /// Where other control hosts reach this one.
    Core::Endpoint address;
    /// The addresses that all hosts were given at the first start of the system.
    std::vector<Core::Endpoint> founders;
    /// The whole system starts for the first time, with empty disks.
    bool isFirstStart { false };
};

/// The store of this host and the identity that it holds.
struct OpenedStore {
    Core::HostName identity;
    Storage::Store::Opened opened;
};

/// The address that is part of an identity. Empty for a name that is no identity.
std::optional<Core::Endpoint> addressOf(Core::HostName const& identity);

/// Opens the store on the disk, or makes one.
///
/// The group is founded without any message: at the first start each founder derives the same voters from the
/// addresses. A founder's identity is used with that start only; a host that finds an empty disk later takes a new
/// random identity and joins, so that a lost disk is never mistaken for one that remembers its votes.
Core::Result<OpenedStore, Storage::StoreError> openOrBootstrap(Storage::DiskInterface&, BootstrapSettings const&);

} // namespace ControlHost
