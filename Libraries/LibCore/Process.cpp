#include <LibCore/Process.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace Core {

void endProcess(int exitCode)
{
    std::cout.flush();
    std::cerr.flush();
    // Nothing can be done about an error at this point.
    [[maybe_unused]] auto const result = std::fflush(nullptr);
    std::quick_exit(exitCode);
}

} // namespace Core
