#pragma once

// A value that one thread replaces while others read it: each reader keeps the value that it has loaded.
//
//     Published<const FleetConfiguration> current;
//     current = compiler.compiled();                                       // any thread
//     const std::shared_ptr<const FleetConfiguration> fleet = current.load();
//
// Why not std::atomic<std::shared_ptr>: in libstdc++ 12 its load() unlocks with relaxed order after it has read the
// pointer. On a processor that reorders (not on x86) a reader may combine an old count with a new pointer, and the
// value would be freed while it is in use. The thread sanitizer reports this.

#include <memory>
#include <mutex>
#include <utility>

namespace Sequoiausher {

/** See above. Null at first. The lock is a leaf lock, which is held only while the pointer is copied. */
template<typename Value>
class Published
{
public:
    std::shared_ptr<Value> load() const
    {
        const std::scoped_lock lock(this->mutex);
        return this->value;
    }

    /** The previous value is released outside of the lock. */
    Published &operator=(std::shared_ptr<Value> next)
    {
        const std::scoped_lock lock(this->mutex);
        std::swap(this->value, next);
        return *this;
    }

private:
    mutable std::mutex mutex;
    std::shared_ptr<Value> value;
};

} // namespace Sequoiausher
