#pragma once

// The places that an admission owner has granted, by gateway and request. Each is held until it is released, or until
// it expires with the deadline of its request.
//
//     PlaceTable<Place> places;
//     places.add({gateway, request.id}, place, now + request.timeLeft);
//     const std::optional<Place> released = places.take({gateway, release.id});
//     while (const auto key = places.firstExpired(now)) { places.take(*key); }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Sequoiausher {

/** The gateway that holds a place, and its id of the request. */
using PlaceKey = std::pair<InstanceId, std::uint64_t>;

/** Places of one type. Not thread-safe. */
template<typename Place>
class PlaceTable
{
public:
    /** The place; nullptr where there is none. Valid until a place is added or taken. */
    Place *find(const PlaceKey &key)
    {
        const auto found = this->entries.find(key);
        return found != this->entries.end() ? &found->second.place : nullptr;
    }

    /** Adds a place under a key that has none. */
    void add(const PlaceKey &key, Place place, Millis expiresAt)
    {
        this->entries.emplace(key, Entry{std::move(place), expiresAt});
        this->expiries.emplace(expiresAt, key);
    }

    /** Removes a place. @return what it was; none where there is none. */
    std::optional<Place> take(const PlaceKey &key)
    {
        const auto found = this->entries.find(key);
        if (found == this->entries.end()) {
            return std::nullopt;
        }
        const auto [first, last] = this->expiries.equal_range(found->second.expiresAt);
        this->expiries.erase(std::find_if(first, last, [&key](const auto &entry) { return entry.second == key; }));
        std::optional<Place> place(std::move(found->second.place));
        this->entries.erase(found);
        return place;
    }

    /** The place that expires first, if it has expired. */
    std::optional<PlaceKey> firstExpired(Millis now) const
    {
        const bool isExpired = !this->expiries.empty() && this->expiries.begin()->first <= now;
        return isExpired ? std::optional(this->expiries.begin()->second) : std::nullopt;
    }

    /** The places that the gateway holds. */
    std::vector<PlaceKey> heldBy(const InstanceId &gateway) const
    {
        std::vector<PlaceKey> keys;
        for (auto entry = this->entries.lower_bound({gateway, 0});
             entry != this->entries.end() && entry->first.first == gateway;
             ++entry) {
            keys.push_back(entry->first);
        }
        return keys;
    }

    /** The gateways that hold places. */
    std::vector<InstanceId> holders() const
    {
        std::vector<InstanceId> all;
        for (const auto &[key, entry] : this->entries) {
            if (all.empty() || all.back() != key.first) {
                all.push_back(key.first);
            }
        }
        return all;
    }

private:
    struct Entry
    {
        Place place;
        Millis expiresAt;
    };

    std::map<PlaceKey, Entry> entries;
    std::multimap<Millis, PlaceKey> expiries;
};

} // namespace Sequoiausher
