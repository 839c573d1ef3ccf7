#pragma once

namespace Core {

/// Ends the process at once, with its standard streams written out. Static objects are not destroyed: log4cplus joins
/// its threads there, which did not return on the users' platform.
[[noreturn]] void endProcess(int exitCode);

/// Makes the allocator give large blocks back to the system as soon as they are freed. Called before they are used.
///
/// By default glibc raises its threshold to the size of the largest block that was freed, up to 32 MiB. Bodies of
/// requests and answers then share one heap, which fragments and never shrinks.
void returnFreedMemoryAtOnce();

} // namespace Core
