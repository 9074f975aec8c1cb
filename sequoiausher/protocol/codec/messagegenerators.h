#pragma once

// Random messages of every kind for property tests, with every field set.
//
//     rc::check("...", [](const PeerMessage &message) { ... });

#include "sequoiausher/coordination/messages/peermessage.h"

#include <rapidcheck.h>

#include <cstdint>
#include <limits>

namespace rc {

template<typename Tag>
struct Arbitrary<Sequoiausher::NameOf<Tag>>
{
    static Gen<Sequoiausher::NameOf<Tag>> arbitrary()
    {
        using Name = Sequoiausher::NameOf<Tag>;
        return gen::map(gen::arbitrary<std::string>(), [](std::string text) { return Name{std::move(text)}; });
    }
};

template<typename Tag>
struct Arbitrary<Sequoiausher::Number128<Tag>>
{
    static Gen<Sequoiausher::Number128<Tag>> arbitrary()
    {
        using Number = Sequoiausher::Number128<Tag>;
        return gen::build<Number>(gen::set(&Number::high), gen::set(&Number::low));
    }
};

template<>
struct Arbitrary<Sequoiausher::Millis>
{
    static Gen<Sequoiausher::Millis> arbitrary()
    {
        return gen::map(gen::arbitrary<std::int32_t>(), [](std::int32_t count) {
            return count == std::numeric_limits<std::int32_t>::max() ? Sequoiausher::Millis::never()
                                                                     : Sequoiausher::Millis{count};
        });
    }
};

template<typename Enum>
requires(Sequoiausher::nameTable<Enum>.size() > 0) struct Arbitrary<Enum>
{
    static Gen<Enum> arbitrary()
    {
        return gen::map(gen::inRange<std::size_t>(0, Sequoiausher::nameTable<Enum>.size()),
                        [](std::size_t row) { return Sequoiausher::nameTable<Enum>.at(row).value; });
    }
};

#define SEQUOIAUSHER_FIELD(FIELD) gen::set(&Type::FIELD)
#define SEQUOIAUSHER_ARBITRARY(NAME, ...) \
    template<> \
    struct Arbitrary<Sequoiausher::NAME> \
    { \
        using Type = Sequoiausher::NAME; \
        static Gen<Type> arbitrary() \
        { \
            return gen::build<Type>(__VA_ARGS__); \
        } \
    }

SEQUOIAUSHER_ARBITRARY(LifeNews, SEQUOIAUSHER_FIELD(incarnation), SEQUOIAUSHER_FIELD(state));
SEQUOIAUSHER_ARBITRARY(InstanceNews, SEQUOIAUSHER_FIELD(instance), SEQUOIAUSHER_FIELD(life));
SEQUOIAUSHER_ARBITRARY(TargetNews, SEQUOIAUSHER_FIELD(target), SEQUOIAUSHER_FIELD(life));
SEQUOIAUSHER_ARBITRARY(ShardSum,
                       SEQUOIAUSHER_FIELD(pool),
                       SEQUOIAUSHER_FIELD(shard),
                       SEQUOIAUSHER_FIELD(inFlight),
                       SEQUOIAUSHER_FIELD(targets),
                       SEQUOIAUSHER_FIELD(age));
SEQUOIAUSHER_ARBITRARY(ReachNews,
                       SEQUOIAUSHER_FIELD(instance),
                       SEQUOIAUSHER_FIELD(incarnation),
                       SEQUOIAUSHER_FIELD(refutation),
                       SEQUOIAUSHER_FIELD(suspected));
template<>
struct Arbitrary<Sequoiausher::OrganisationDemand>
{
    using Type = Sequoiausher::OrganisationDemand;
    static Gen<Type> arbitrary()
    {
        return gen::build<Type>(SEQUOIAUSHER_FIELD(organisation),
                                gen::set(&Type::perSecond, gen::cast<double>(gen::arbitrary<std::uint32_t>())),
                                SEQUOIAUSHER_FIELD(age));
    }
};
SEQUOIAUSHER_ARBITRARY(Gossip,
                       SEQUOIAUSHER_FIELD(instances),
                       SEQUOIAUSHER_FIELD(targets),
                       SEQUOIAUSHER_FIELD(sums),
                       SEQUOIAUSHER_FIELD(documentsDigest),
                       SEQUOIAUSHER_FIELD(highestRevision),
                       SEQUOIAUSHER_FIELD(reach),
                       SEQUOIAUSHER_FIELD(demands),
                       SEQUOIAUSHER_FIELD(fleetDemands),
                       SEQUOIAUSHER_FIELD(serviceAge));
SEQUOIAUSHER_ARBITRARY(Holding, SEQUOIAUSHER_FIELD(request), SEQUOIAUSHER_FIELD(target));
SEQUOIAUSHER_ARBITRARY(ClaimRecord,
                       SEQUOIAUSHER_FIELD(key),
                       SEQUOIAUSHER_FIELD(attempt),
                       SEQUOIAUSHER_FIELD(round),
                       SEQUOIAUSHER_FIELD(bodyDigest),
                       SEQUOIAUSHER_FIELD(holder),
                       SEQUOIAUSHER_FIELD(age));
SEQUOIAUSHER_ARBITRARY(Document,
                       SEQUOIAUSHER_FIELD(name),
                       SEQUOIAUSHER_FIELD(revision),
                       SEQUOIAUSHER_FIELD(body),
                       SEQUOIAUSHER_FIELD(deleted));
SEQUOIAUSHER_ARBITRARY(DocumentVersion, SEQUOIAUSHER_FIELD(name), SEQUOIAUSHER_FIELD(revision));
SEQUOIAUSHER_ARBITRARY(ClaimRequest,
                       SEQUOIAUSHER_FIELD(key),
                       SEQUOIAUSHER_FIELD(attempt),
                       SEQUOIAUSHER_FIELD(round),
                       SEQUOIAUSHER_FIELD(bodyDigest));
SEQUOIAUSHER_ARBITRARY(ClaimVote,
                       SEQUOIAUSHER_FIELD(key),
                       SEQUOIAUSHER_FIELD(attempt),
                       SEQUOIAUSHER_FIELD(round),
                       SEQUOIAUSHER_FIELD(verdict),
                       SEQUOIAUSHER_FIELD(holder),
                       SEQUOIAUSHER_FIELD(heldBy),
                       SEQUOIAUSHER_FIELD(retryAfter));
SEQUOIAUSHER_ARBITRARY(ClaimWithdraw, SEQUOIAUSHER_FIELD(key), SEQUOIAUSHER_FIELD(attempt), SEQUOIAUSHER_FIELD(round));
SEQUOIAUSHER_ARBITRARY(ClaimPull, SEQUOIAUSHER_FIELD(pull), SEQUOIAUSHER_FIELD(from));
SEQUOIAUSHER_ARBITRARY(ClaimPage,
                       SEQUOIAUSHER_FIELD(pull),
                       SEQUOIAUSHER_FIELD(giverAbstains),
                       SEQUOIAUSHER_FIELD(giverLearns),
                       SEQUOIAUSHER_FIELD(last),
                       SEQUOIAUSHER_FIELD(next),
                       SEQUOIAUSHER_FIELD(records));
SEQUOIAUSHER_ARBITRARY(ReserveRequest,
                       SEQUOIAUSHER_FIELD(request),
                       SEQUOIAUSHER_FIELD(pool),
                       SEQUOIAUSHER_FIELD(shard),
                       SEQUOIAUSHER_FIELD(chatHash),
                       SEQUOIAUSHER_FIELD(policy),
                       SEQUOIAUSHER_FIELD(boundPercent),
                       SEQUOIAUSHER_FIELD(excluded),
                       SEQUOIAUSHER_FIELD(requestClass));
SEQUOIAUSHER_ARBITRARY(ReserveReply,
                       SEQUOIAUSHER_FIELD(request),
                       SEQUOIAUSHER_FIELD(verdict),
                       SEQUOIAUSHER_FIELD(target),
                       SEQUOIAUSHER_FIELD(retryAfter));
SEQUOIAUSHER_ARBITRARY(Release, SEQUOIAUSHER_FIELD(request), SEQUOIAUSHER_FIELD(pool), SEQUOIAUSHER_FIELD(shard));
SEQUOIAUSHER_ARBITRARY(HoldingsReport,
                       SEQUOIAUSHER_FIELD(pool),
                       SEQUOIAUSHER_FIELD(shard),
                       SEQUOIAUSHER_FIELD(sequence),
                       SEQUOIAUSHER_FIELD(holdings));
SEQUOIAUSHER_ARBITRARY(Probe, SEQUOIAUSHER_FIELD(sequence), SEQUOIAUSHER_FIELD(gossip));
SEQUOIAUSHER_ARBITRARY(ProbeReply, SEQUOIAUSHER_FIELD(sequence), SEQUOIAUSHER_FIELD(about), SEQUOIAUSHER_FIELD(gossip));
SEQUOIAUSHER_ARBITRARY(IndirectProbe, SEQUOIAUSHER_FIELD(sequence), SEQUOIAUSHER_FIELD(suspect));
SEQUOIAUSHER_ARBITRARY(DocumentPush, SEQUOIAUSHER_FIELD(documents), SEQUOIAUSHER_FIELD(hops));
SEQUOIAUSHER_ARBITRARY(DocumentDigest,
                       SEQUOIAUSHER_FIELD(versions),
                       SEQUOIAUSHER_FIELD(wantsAnswer),
                       SEQUOIAUSHER_FIELD(exchange),
                       SEQUOIAUSHER_FIELD(buckets),
                       SEQUOIAUSHER_FIELD(covered),
                       SEQUOIAUSHER_FIELD(complete));
SEQUOIAUSHER_ARBITRARY(DocumentPull, SEQUOIAUSHER_FIELD(names));
SEQUOIAUSHER_ARBITRARY(AttachRequest,
                       SEQUOIAUSHER_FIELD(attachment),
                       SEQUOIAUSHER_FIELD(key),
                       SEQUOIAUSHER_FIELD(attempt));
SEQUOIAUSHER_ARBITRARY(AttachReply,
                       SEQUOIAUSHER_FIELD(attachment),
                       SEQUOIAUSHER_FIELD(verdict),
                       SEQUOIAUSHER_FIELD(status),
                       SEQUOIAUSHER_FIELD(contentType));
SEQUOIAUSHER_ARBITRARY(AttachChunk,
                       SEQUOIAUSHER_FIELD(attachment),
                       SEQUOIAUSHER_FIELD(offset),
                       SEQUOIAUSHER_FIELD(bytes));
SEQUOIAUSHER_ARBITRARY(AttachEnd,
                       SEQUOIAUSHER_FIELD(attachment),
                       SEQUOIAUSHER_FIELD(complete),
                       SEQUOIAUSHER_FIELD(reason));
SEQUOIAUSHER_ARBITRARY(AttachCancel, SEQUOIAUSHER_FIELD(attachment));

#undef SEQUOIAUSHER_ARBITRARY
#undef SEQUOIAUSHER_FIELD

/** Every alternative of the variant, with equal weight. */
template<typename... Messages>
struct Arbitrary<std::variant<Messages...>>
{
    static Gen<std::variant<Messages...>> arbitrary()
    {
        using Variant = std::variant<Messages...>;
        return gen::oneOf(
            gen::map(gen::arbitrary<Messages>(), [](Messages message) { return Variant(std::move(message)); })...);
    }
};

} // namespace rc
