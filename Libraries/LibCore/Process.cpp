#include <LibCore/Process.h>

#include <malloc.h>

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

void returnFreedMemoryAtOnce()
{
    constexpr int minBlockBytes = 128 * 1024;
    // Setting either ends the adjustment of both.
    // NOLINTBEGIN(concurrency-mt-unsafe): one thread so far
    ::mallopt(M_MMAP_THRESHOLD, minBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, minBlockBytes);
    // NOLINTEND(concurrency-mt-unsafe)
}

} // namespace Core
