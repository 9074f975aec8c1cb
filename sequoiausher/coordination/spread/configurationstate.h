#pragma once

// Which configuration is in force on this router: always one whole, checked set of documents, swapped at once.
//
//     ConfigurationState configuration(checker);
//     configuration.offer(table);                       // after each change of the table
//     const auto inForce = configuration.inForce();     // immutable; a request keeps the one it started with

#include "sequoiausher/base/error.h"
#include "sequoiausher/state/documents/documenttable.h"

#include <memory>
#include <optional>
#include <vector>

namespace Sequoiausher {

/** Says whether a set of documents may come into force. It must judge the same way on every router. */
class DocumentChecker
{
public:
    virtual ~DocumentChecker() = default;

    /** std::nullopt where the whole set is good; otherwise an error that names document, line and reason. */
    virtual std::optional<Error> check(const DocumentSet &candidate) const = 0;
};

/** One set in force. */
struct Configuration
{
    /** DocumentTable::digest() of the table that it was made from: equal digests, equal configuration. */
    std::uint64_t digest = 0;
    Revision highestRevision = 0;
    /** Every name with the revision it was built from, tombstones included. */
    std::vector<DocumentVersion> versions;
    std::shared_ptr<const DocumentSet> documents;
};

/** What became of an offered set. */
enum class OfferResult {
    InForce,
    /** It is in force already, or was refused already. */
    Unchanged,
    /** The checker refused it; the last good one stays. */
    Refused,
    /** Some document in it is older than the one in force, or missing. */
    Reverts,
};

template<>
inline constexpr auto nameTable<OfferResult> = std::to_array<NameEntry<OfferResult>>({
    {OfferResult::InForce, "in-force"},
    {OfferResult::Unchanged, "unchanged"},
    {OfferResult::Refused, "refused"},
    {OfferResult::Reverts, "reverts"},
});

/** Not thread-safe; the caller locks, or hands the pointer that inForce() gives to its workers. */
class ConfigurationState
{
public:
    /** @param checker outlives this. */
    explicit ConfigurationState(const DocumentChecker &checker);
    ~ConfigurationState();

    /** Checks the whole table and puts it in force, or keeps what is. */
    OfferResult offer(const DocumentTable &table);

    /** The set in force; nullptr until one was accepted. */
    std::shared_ptr<const Configuration> inForce() const;

    /** Why the newest offer was refused; std::nullopt once one was accepted. */
    const std::optional<Error> &refusal() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
