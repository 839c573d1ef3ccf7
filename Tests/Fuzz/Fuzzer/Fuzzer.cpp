#include "../Targets.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    Fuzz::PRIMROSESHIFT_FUZZ_TARGET({ reinterpret_cast<char const*>(data), size });
    return 0;
}
