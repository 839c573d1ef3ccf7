#pragma once

namespace Core {

/// Ends the process at once, with its standard streams written out. Static objects are not destroyed: log4cplus joins
/// its threads there, which did not return on the users' platform.
[[noreturn]] void endProcess(int exitCode);

} // namespace Core
