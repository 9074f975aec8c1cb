#include "sequoiausher/coordination/rules/ruleset.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/rules/condition.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>

using namespace Sequoiausher;

namespace {

Document fleet(const std::string &body)
{
    return {"rules/fleet", 1, body, false};
}

std::shared_ptr<const RuleSet> compiled(const std::vector<Document> &documents)
{
    Problems problems;
    auto rules = compileRules(documents, std::nullopt, problems);
    CHECK(problems.empty());
    REQUIRE(rules);
    return rules;
}

/** The keys of an invalid rule, and the problem reported for them in rules/fleet. */
struct BadRule
{
    std::string keys;
    std::string problem;
};

/** A rule of the naive interpreter: its conditions as plain values, which are never parsed. */
struct NaiveRule
{
    std::string model;
    std::string pathPrefix;
    int shareFirst = 0;
    int shareLast = 99;
    int bytesBelow = 0;
    std::string pool;
};

std::string toIniText(const NaiveRule &rule, std::size_t index)
{
    std::string text = "[rule r" + std::to_string(index) + "]\n";
    text += rule.model.empty() ? "" : "when.model = " + rule.model + "\n";
    text += rule.pathPrefix.empty() ? "" : "when.path = " + rule.pathPrefix + "*\n";
    text += "when.chat_share = " + std::to_string(rule.shareFirst) + "-" + std::to_string(rule.shareLast) + "\n";
    text += rule.bytesBelow == 0 ? "" : "when.prompt_bytes = < " + std::to_string(rule.bytesBelow) + "\n";
    return text + "then.pool = " + rule.pool + "\n";
}

std::string naivePool(const std::vector<NaiveRule> &rules, const RequestFacts &facts)
{
    const auto share = static_cast<int>(rendezvousWeight(hash64(""), facts.chatHash) % 100);
    for (const NaiveRule &rule : rules) {
        const bool model = rule.model.empty() || rule.model == facts.model;
        const bool path = facts.path.compare(0, rule.pathPrefix.size(), rule.pathPrefix) == 0;
        const bool chat = rule.shareFirst <= share && share <= rule.shareLast;
        const bool bytes = rule.bytesBelow == 0 || facts.promptBytes < static_cast<std::uint64_t>(rule.bytesBelow);
        if (model && path && chat && bytes) {
            return rule.pool;
        }
    }
    return "";
}

NaiveRule arbitraryRule(std::size_t index)
{
    NaiveRule rule;
    rule.model = *rc::gen::element<std::string>("", "a", "b");
    rule.pathPrefix = *rc::gen::element<std::string>("", "/v1", "/v1/chat", "/orders");
    rule.shareFirst = *rc::gen::inRange(0, 100);
    rule.shareLast = *rc::gen::inRange(rule.shareFirst, 100);
    rule.bytesBelow = *rc::gen::element(0, 1, 500, 4000);
    rule.pool = "pool-" + std::to_string(index);
    return rule;
}

RequestFacts arbitraryFacts()
{
    RequestFacts facts;
    facts.model = *rc::gen::element<std::string>("", "a", "b", "c");
    facts.path = *rc::gen::element<std::string>("/v1", "/v1/chat/completions", "/orders/7", "/");
    facts.chatHash = *rc::gen::arbitrary<std::uint64_t>();
    facts.promptBytes = *rc::gen::element<std::uint64_t>(0, 499, 500, 3999, 4000);
    return facts;
}

} // namespace

TEST_CASE("the organisation's rules come before the fleet's, and the first rule whose conditions hold decides")
{
    const auto rules = compiled({
        fleet("[rule plates]\nwhen.model = plate-model\nthen.pool = plate-model\nthen.priority = 3\n"
              "[rule rest]\nthen.refuse = 404\nthen.refuse_text = no such service\n"),
        {"rules/organisation/k", 2, "[rule big]\nwhen.prompt_bytes = >=1000\nthen.pool = plate-model\n", false},
        {"rules/organisation/gone", 3, "not a rule", true},
        {"targets/plate-model", 4, "not a rule", false},
    });
    CHECK(rules->size() == 3);
    RequestFacts facts;
    facts.organisation.value = "k";
    facts.model = "plate-model";
    facts.promptBytes = 1000;
    facts.requestClass = RequestClass::Background;
    const auto big = rules->decide(facts);
    REQUIRE(big);
    CHECK(big->rule == "big");
    CHECK(big->document == "rules/organisation/k");
    CHECK(big->priority == 8);
    facts.promptBytes = 999;
    CHECK(rules->decide(facts)->priority == 3);
    facts.model = "other";
    const Explanation explanation = rules->explain(facts);
    REQUIRE(explanation.verdicts.size() == 3);
    CHECK(explanation.verdicts[0]
          == RuleVerdict{"rules/organisation/k", "big", false, "when.prompt_bytes", ">=1000", "999"});
    CHECK(explanation.verdicts[1]
          == RuleVerdict{"rules/fleet", "plates", false, "when.model", "plate-model", "'other'"});
    CHECK(explanation.decision->refusal == Refusal{404, "no such service", std::nullopt});
}

TEST_CASE("each kind of condition holds for matching values, including the limits of ranges")
{
    struct Edge
    {
        std::string condition;
        bool expected;
    };
    RequestFacts facts;
    facts.organisation.value = "k";
    facts.requestClass = RequestClass::Urgent;
    facts.model = "m-7b";
    facts.path = "/v1/chat";
    facts.method = "POST";
    facts.promptBytes = 400;
    facts.headers = {{"x-trial", "on"}};
    facts.wallTime = Millis{(22 * 60 + 30) * 60000LL + 86400000LL * 20000};
    facts.pools = std::make_shared<const std::vector<PoolState>>(std::vector<PoolState>{{PoolId{"p.q"}, 3, 10}});
    const Edge edges[] = {
        {"organisation = j, k", true},
        {"organisation = j", false},
        {"class = urgent", true},
        {"class = background", false},
        {"model = m-*", true},
        {"model = m", false},
        {"path = /v1/*", true},
        {"path = /v1/chat*", true},
        {"path = /v2*", false},
        {"method = GET, POST", true},
        {"method = GET", false},
        {"prompt_bytes = 400", true},
        {"prompt_bytes = <400", false},
        {"prompt_bytes = <= 400", true},
        {"prompt_bytes = >400", false},
        {"prompt_bytes = 1-3, 300-400", true},
        {"prompt_tokens = 100", true},
        {"header.X-Trial = on", true},
        {"header.x-trial = *", true},
        {"header.x-other = *", false},
        {"time_of_day = 22:30-23:00", true},
        {"time_of_day = 22:00-22:30", false},
        {"time_of_day = 22:00-06:00", true},
        {"time_of_day = 00:00-24:00", true},
        {"time_of_day = 23:00-22:30", false},
        {"pool.p.q.targets = <4", true},
        {"pool.p.q.in_flight = 10", true},
        {"pool.p.q.in_flight_per_target = 3", true},
        {"pool.none.targets = 0", true},
        {"chat_share = 0-99", true},
    };
    for (const Edge &edge : edges) {
        CAPTURE(edge.condition);
        const auto rules = compiled({fleet("[rule r]\nwhen." + edge.condition + "\nthen.pool = p\n")});
        CHECK(rules->decide(facts).has_value() == edge.expected);
    }
}

TEST_CASE("each invalid rule gives a specific error")
{
    const std::string numbers = "N, N-M, <N, <=N, >N or >=N of whole numbers from ";
    const std::string several = ", or several, comma separated";
    const BadRule cases[] = {
        {"when.class = urgent", "1: [rule r]: found neither then.pool nor then.refuse, expected one of them"},
        {"then.pool = a b",
         "2:13: [rule r] then.pool: found 'a b', expected a name of 1 to 64 letters, digits, '.', '_' or '-'"},
        {"then.pool = p\nthen.polcy = rendezvous",
         "3:1: [rule r] then.polcy: found an unknown key, expected one of the keys in docs/CONFIGURATION.md; did you "
         "mean 'then.policy'?"},
        {"then.pool = p\nwhen.modl = m",
         "3:1: [rule r] when.modl: found an unknown key, expected one of the keys in docs/CONFIGURATION.md; did you "
         "mean 'when.model'?"},
        {"then.pool = p\npriority = 3",
         "3:1: [rule r] priority: found an unknown key, expected one of the keys in docs/CONFIGURATION.md"},
        {"then.pool = p\nthen.policy = bounded-rendezvouz",
         "3:15: [rule r] then.policy: found 'bounded-rendezvouz', expected one of round-robin, rendezvous, "
         "bounded-rendezvous, two-choices, least-loaded, prefix-rendezvous, least-expected, room-rendezvous; did "
         "you mean 'bounded-rendezvous'?"},
        {"then.pool = p\nthen.bound_percent = 100",
         "3:22: [rule r] then.bound_percent: found '100', expected a whole number from 101 to 1000 (percent of the "
         "mean load)"},
        {"then.pool = p\nthen.priority = 10",
         "3:17: [rule r] then.priority: found '10', expected a whole number from 0 to 9 (0 first to 9 last)"},
        {"then.pool = p\nthen.priority = 3\nthen.queue_order = shortest-first",
         "3:17: [rule r] then.priority: found '3', expected none with then.queue_order = shortest-first, which sets "
         "the "
         "priority"},
        {"then.pool = p\nthen.queue_order = shortest",
         "3:20: [rule r] then.queue_order: found 'shortest', expected one of class, shortest-first"},
        {"then.pool = p\nthen.hedge_percent = 3",
         "3:22: [rule r] then.hedge_percent: found '3', expected then.overload = reserve beside it: the admission "
         "owner "
         "holds the limit"},
        {"then.pool = p\nthen.deadline_ms = 0",
         "3:20: [rule r] then.deadline_ms: found '0', expected a whole number from 1 to 3600000 (ms)"},
        {"then.pool = p\nthen.rate_per_second = 1.5",
         "3:24: [rule r] then.rate_per_second: found '1.5', expected a whole number from 1 to 1000000 (requests a "
         "second)"},
        {"then.pool = p\nthen.burst = 5",
         "3:14: [rule r] then.burst: found '5', expected then.rate_per_second beside it"},
        {"then.pool = p\nthen.queue_time_ms = soon",
         "3:22: [rule r] then.queue_time_ms: found 'soon', expected a whole number from 0 to 3600000 (ms)"},
        {"then.pool = p\nthen.retry = always",
         "3:14: [rule r] then.retry: found 'always', expected one of none, safe, idempotent"},
        {"then.pool = p\nthen.retry_budget_percent = 101",
         "3:29: [rule r] then.retry_budget_percent: found '101', expected a whole number from 0 to 100 (percent of "
         "requests)"},
        {"then.pool = p\nthen.claim = requird",
         "3:14: [rule r] then.claim: found 'requird', expected one of none, optional, required; did you mean "
         "'required'?"},
        {"then.pool = p\nthen.retry = idempotent\nthen.claim = required",
         "3:14: [rule r] then.retry: found 'idempotent', expected none or safe, since then.claim = required runs each "
         "request at most once"},
        {"then.pool = p\nthen.experiment = e",
         "3:19: [rule r] then.experiment: found 'e', expected then.arm beside it"},
        {"then.pool = p\nthen.arm = a", "3:12: [rule r] then.arm: found 'a', expected then.experiment beside it"},
        {"then.refuse = 500", "2:15: [rule r] then.refuse: found '500', expected a status: 403, 404, 429 or 503"},
        {"then.refuse = 429",
         "2:15: [rule r] then.refuse: found '429', expected then.retry_after_s beside it: a refusal that may be tried "
         "again says when"},
        {"then.refuse = 403\nthen.retry_after_s = 5",
         "3:22: [rule r] then.retry_after_s: found '5', expected none with 403 and 404: trying again is of no use"},
        {"then.refuse = 403\nthen.pool = p",
         "3:13: [rule r] then.pool: found 'p', expected no such key beside then.refuse"},
        {"then.pool = p\nthen.refuse_text = no",
         "3:20: [rule r] then.refuse_text: found 'no', expected then.refuse beside it"},
        {"then.pool = p\nwhen.class = urgnt",
         "3:14: [rule r] when.class: found 'urgnt', expected one of urgent, interactive, background; did you mean "
         "'urgent'?"},
        {"then.pool = p\nwhen.method = post",
         "3:15: [rule r] when.method: found 'post', expected one of GET, POST, PUT, PATCH, DELETE, HEAD, OPTIONS"},
        {"then.pool = p\nwhen.path = v1/*",
         "3:13: [rule r] when.path: found 'v1/*', expected paths that start with '/'"},
        {"then.pool = p\nwhen.path = /*/x",
         "3:13: [rule r] when.path: found '/*/x', expected '*' at the end of a value only"},
        {"then.pool = p\nwhen.model = a,,b",
         "3:14: [rule r] when.model: found 'a,,b', expected a value, or several, comma separated"},
        {"then.pool = p\nwhen.chat_share = 0-100",
         "3:19: [rule r] when.chat_share: found '0-100', expected " + numbers + "0 to 99" + several},
        {"then.pool = p\nwhen.chat_share = 50-49",
         "3:19: [rule r] when.chat_share: found '50-49', expected " + numbers + "0 to 99" + several},
        {"then.pool = p\nwhen.prompt_bytes = <0",
         "3:21: [rule r] when.prompt_bytes: found '<0', expected " + numbers + "0 to 1000000000000" + several},
        {"then.pool = p\nwhen.time_of_day = 8-18",
         "3:20: [rule r] when.time_of_day: found '8-18', expected HH:MM-HH:MM in UTC" + several},
        {"then.pool = p\nwhen.time_of_day = 08:00-24:30",
         "3:20: [rule r] when.time_of_day: found '08:00-24:30', expected HH:MM-HH:MM in UTC" + several},
        {"then.pool = p\nwhen.pool.p.size = 3",
         "3:20: [rule r] when.pool.p.size: found '3', expected when.pool.POOL.targets, when.pool.POOL.in_flight or "
         "when.pool.POOL.in_flight_per_target"},
        {"then.pool = p\n[rule r]\nthen.pool = q",
         "3:1: [rule r]: found the section again, expected it once, as in line 1"},
        {"then.pool = p\n[rules s]\nthen.pool = p",
         "3:1: [rules s]: found an unknown section, expected one of [rule NAME]; did you mean 'rule'?"},
    };
    for (const BadRule &bad : cases) {
        Problems problems;
        CHECK_FALSE(compileRules({fleet("[rule r]\n" + bad.keys + "\n")}, std::nullopt, problems));
        REQUIRE_FALSE(problems.empty());
        CHECK(toText(problems[0]) == "rules/fleet:" + bad.problem);
    }
}

TEST_CASE("an organisation's document must not name an organisation")
{
    Problems problems
        = checkRules({"rules/organisation/k", 1, "[rule r]\nwhen.organisation = j\nthen.pool = p\n", false});
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].key == "when.organisation");
}

TEST_CASE("rules that no request reaches give warnings, and the set is still valid")
{
    struct Shadow
    {
        std::string earlier;
        std::string later;
        bool hidden;
    };
    const Shadow cases[] = {
        {"", "when.class = urgent", true},
        {"when.path = *", "when.class = urgent", true},
        {"when.model = m*", "when.model = m-7b, m-*", true},
        {"when.model = m-7b", "when.model = m*", false},
        {"when.prompt_bytes = 0-10, 11-20", "when.prompt_bytes = 5-15\nwhen.class = urgent", true},
        {"when.prompt_bytes = 0-10", "when.prompt_bytes = 5-15", false},
        {"when.chat_share = 0-49", "when.chat_share = 0-9\nwhen.chat_salt = other", false},
        {"when.header.x = *", "when.class = urgent", false},
        {"when.class = urgent\nwhen.model = m", "when.model = m", false},
    };
    for (const Shadow &shadow : cases) {
        CAPTURE(shadow.earlier);
        Problems problems;
        const auto rules = compileRules(
            {fleet("[rule a]\n" + shadow.earlier + "\nthen.pool = p\n[rule b]\n" + shadow.later + "\nthen.pool = q\n")},
            std::nullopt,
            problems);
        CHECK(rules);
        CHECK(problems.size() == (shadow.hidden ? 1 : 0));
    }
    Problems problems;
    CHECK(compileRules({fleet("[rule a]\nwhen.organisation = k\nthen.pool = p\n"),
                        {"rules/organisation/k", 1, "[rule all]\nthen.pool = p\n", false}},
                       std::nullopt,
                       problems));
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].key == "when.organisation");
}

TEST_CASE("unknown pools and organisations have the severity that the caller sets")
{
    const std::vector<Document> documents = {
        fleet("[rule a]\nwhen.organisation = kentekenlap\nwhen.pool.plates.targets = <4\nthen.pool = plate-modl\n"),
        {"rules/organisation/nobody", 1, "[rule a]\nthen.pool = plate-model\n", false},
    };
    const RuleNames names{{"plate-model"}, {"kentekenlab"}, Severity::Warning};
    Problems warnings;
    CHECK(compileRules(documents, names, warnings));
    REQUIRE(warnings.size() == 4);
    CHECK(toText(warnings[0])
          == "rules/fleet:1: warning: [rule a] then.pool: found the unknown pool 'plate-modl', expected a pool with a "
             "document targets/POOL; did you mean 'plate-model'?");
    Problems errors;
    CHECK_FALSE(compileRules(documents, RuleNames{names.pools, names.organisations, Severity::Error}, errors));
}

// Guards against accepting an invalid set: a document with a hundred warnings fills the list of problems, and the bound
// of that list drops the error of the next document.
TEST_CASE("an error after any number of warnings makes the set invalid")
{
    std::string body = "[rule all]\nthen.pool = p\n";
    for (int i = 0; i < 150; ++i) {
        body += "[rule r" + std::to_string(i) + "]\nthen.pool = p\n";
    }
    Problems problems;
    const Document bad{"rules/organisation/k", 1, "[rule r]\n", false};
    CHECK_FALSE(compileRules({fleet(body), bad}, std::nullopt, problems));
    CHECK(problems.size() == maximumProblems);
    CHECK(hasErrors(problems));
}

TEST_CASE("the size of documents is bounded, so that comparing their rules takes little time")
{
    const auto firstProblem = [](const std::string &body) {
        const Problems problems = checkRules(fleet(body));
        return problems.empty() ? std::string{} : toText(problems[0]);
    };
    std::string rules;
    for (std::size_t i = 0; i <= maximumRules; ++i) {
        rules += "[rule r" + std::to_string(i) + "]\nwhen.model = m" + std::to_string(i) + "\nthen.pool = p\n";
    }
    CHECK(firstProblem(rules) == "rules/fleet: found 501 rules, expected at most 500");
    std::string keys = "[rule r]\nthen.pool = p\n";
    std::string values = "[rule r]\nthen.pool = p\nwhen.model = m";
    for (int i = 0; i < 256; ++i) {
        keys += "when.header.x" + std::to_string(i) + " = on\n";
        values += ", m" + std::to_string(i);
    }
    CHECK(firstProblem(keys) == "rules/fleet:1: [rule r]: found 257 keys, expected at most 64");
    CHECK(firstProblem(values).ends_with("expected at most 256 alternatives"));
    values = "";
    for (int i = 0; i < 150; ++i) {
        values += "[rule r" + std::to_string(i) + "]\nthen.pool = p\nwhen.prompt_bytes = " + std::to_string(i)
            + "\nwhen.model = m";
        for (int j = 0; j < 70; ++j) {
            values += ", m" + std::to_string(j);
        }
        values += "\n";
    }
    CHECK(firstProblem(values) == "rules/fleet: found 10800 alternatives over all rules, expected at most 10000");
}

TEST_CASE("the first matching rule decides, as in a naive interpreter")
{
    CHECK(rc::check("decide equals the naive interpreter", [] {
        std::vector<NaiveRule> naive;
        std::string body;
        const auto count = *rc::gen::inRange<std::size_t>(0, 12);
        for (std::size_t i = 0; i < count; ++i) {
            naive.push_back(arbitraryRule(i));
            body += toIniText(naive.back(), i);
        }
        Problems problems;
        const auto rules = compileRules({fleet(body)}, std::nullopt, problems);
        RC_ASSERT(rules);
        for (int i = 0; i < 20; ++i) {
            const RequestFacts facts = arbitraryFacts();
            const auto decision = rules->decide(facts);
            RC_ASSERT((decision ? decision->pool.value : "") == naivePool(naive, facts));
            RC_ASSERT(rules->explain(facts).decision == decision);
            // A rule that was reported as unreachable must not decide.
            for (const Problem &problem : problems) {
                RC_ASSERT(!decision || problem.section != "rule " + decision->rule);
            }
        }
    }));
}

TEST_CASE("random bytes either compile or give an error")
{
    CHECK(rc::check("compileRules takes any bytes", [](const std::string &body) {
        Problems problems;
        const auto rules = compileRules({fleet("[rule r]\nthen.pool = p\nwhen." + body)}, std::nullopt, problems);
        RC_ASSERT((rules == nullptr) == hasErrors(problems));
    }));
}

TEST_CASE("shares of chats are proportional, stable, and independent under different salts")
{
    constexpr int chats = 20000;
    int half = 0;
    int both = 0;
    for (int i = 0; i < chats; ++i) {
        const std::uint64_t chat = hash64("chat-" + std::to_string(i));
        const bool inOne = chatShareOf(chat, "one") < 50;
        half += inOne ? 1 : 0;
        both += inOne && chatShareOf(chat, "two") < 50 ? 1 : 0;
    }
    CHECK(half > chats * 48 / 100);
    CHECK(half < chats * 52 / 100);
    CHECK(both > chats * 23 / 100);
    CHECK(both < chats * 27 / 100);
    // Shares must also be the same in all builds: replacing routers must not move chats to another arm.
    CHECK(chatShareOf(hash64("chat-1"), "bound-trial") == 84);
    CHECK(chatShareOf(hash64("chat-2"), "bound-trial") == 69);
}
