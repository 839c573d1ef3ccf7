#include <LibStorage/Disk.h>

#include <cerrno>

namespace Storage {

std::string_view toString(DiskOperation operation)
{
    switch (operation) {
    case DiskOperation::CreateDirectory:
        return "create directory";
    case DiskOperation::List:
        return "list";
    case DiskOperation::Open:
        return "open";
    case DiskOperation::Read:
        return "read";
    case DiskOperation::Write:
        return "write";
    case DiskOperation::Sync:
        return "sync";
    case DiskOperation::SyncDirectory:
        return "sync directory";
    case DiskOperation::Rename:
        return "rename";
    case DiskOperation::Remove:
        return "remove";
    case DiskOperation::Lock:
        return "lock";
    }
    return "unknown";
}

bool DiskError::isDiskFull() const { return errorNumber == ENOSPC || errorNumber == EDQUOT || errorNumber == EFBIG; }

bool DiskError::isRefusal() const
{
    return isDiskFull() && operation != DiskOperation::Sync && operation != DiskOperation::SyncDirectory;
}

} // namespace Storage
