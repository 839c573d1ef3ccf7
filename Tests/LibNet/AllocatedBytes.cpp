#include "AllocatedBytes.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

// Replaces the operators of the whole test program.

namespace {

std::atomic<std::size_t> allocated { 0 };

void* allocate(std::size_t bytes)
{
    auto* const block = std::malloc(bytes); // NOLINT(cppcoreguidelines-no-malloc)
    if (!block)
        throw std::bad_alloc();
    allocated += ::malloc_usable_size(block);
    return block;
}

void release(void* block) noexcept
{
    if (block)
        allocated -= ::malloc_usable_size(block);
    std::free(block); // NOLINT(cppcoreguidelines-no-malloc)
}

} // namespace

void* operator new(std::size_t bytes) { return allocate(bytes); }
void* operator new[](std::size_t bytes) { return allocate(bytes); }
void operator delete(void* block) noexcept { release(block); }
void operator delete[](void* block) noexcept { release(block); }
void operator delete(void* block, std::size_t) noexcept { release(block); }
void operator delete[](void* block, std::size_t) noexcept { release(block); }

namespace TestNet {

std::size_t allocatedBytes() { return allocated; }

} // namespace TestNet
