#pragma once

// A value that one thread replaces whole while others read it: each reader keeps the one that it loaded.
//
//     Published<const FleetConfiguration> current;
//     current = compiler.compiled();                                       // any thread
//     const std::shared_ptr<const FleetConfiguration> fleet = current.load();
//
// Not std::atomic<std::shared_ptr>: in libstdc++ 12 its load() unlocks with relaxed order after reading the pointer, so
// on a processor that reorders (not on x86) a reader may pair an old count with a new pointer, and a value would be
// freed under it. The thread sanitizer reports that.

#include <memory>
#include <mutex>
#include <utility>

namespace Sequoiausher {

/** See above. Null at first. The lock is a leaf, held for a copy of the pointer alone. */
template<typename Value>
class Published
{
public:
    std::shared_ptr<Value> load() const
    {
        const std::scoped_lock lock(this->mutex);
        return this->value;
    }

    /** The value before is let go of outside the lock. */
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
