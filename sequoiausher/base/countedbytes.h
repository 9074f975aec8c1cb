#pragma once

// A part of a total of bytes. It leaves the total when it is destroyed, so that the total stays right however its owner
// ends.
//
//     const auto total = std::make_shared<std::size_t>(0);
//     CountedBytes buffered(total);
//     buffered.set(buffer.size());    // after each change of the buffer

#include <cstddef>
#include <memory>
#include <utility>

namespace Sequoiausher {

/** See above. Not thread-safe. */
class CountedBytes
{
public:
    /** Counts nowhere. */
    CountedBytes() = default;
    explicit CountedBytes(std::shared_ptr<std::size_t> into) : total(std::move(into))
    {
    }
    ~CountedBytes()
    {
        this->set(0);
    }
    CountedBytes(const CountedBytes &) = delete;
    CountedBytes &operator=(const CountedBytes &) = delete;

    void set(std::size_t bytes)
    {
        if (this->total) {
            *this->total += bytes - this->counted;
        }
        this->counted = bytes;
    }
    std::size_t bytes() const
    {
        return this->counted;
    }
    /** Leaves the present total and counts into another one. */
    void moveTo(std::shared_ptr<std::size_t> into)
    {
        const std::size_t bytes = this->counted;
        this->set(0);
        this->total = std::move(into);
        this->set(bytes);
    }

private:
    std::shared_ptr<std::size_t> total;
    std::size_t counted = 0;
};

} // namespace Sequoiausher
