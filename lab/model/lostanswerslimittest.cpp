#include "lab/model/lostanswersmodel.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

// Guards against targets that answer and get far more than the mean while most of the others lose their answers: of the
// requests of five seconds 3 in 100 at most reach targets that hold over twice the mean and three.
TEST_CASE("the targets that answer are not crowded while most of the others lose their answers")
{
    constexpr double mostAboveLimit = 0.03;
    for (const double perSecond : {300.0, 450.0, 600.0, 900.0}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(perSecond);
            CAPTURE(seed);
            LostAnswersDay day;
            day.crowdedPerSecond = perSecond;
            day.seed = seed;
            CHECK(playLostAnswers(day, LostAnswersPolicy()).worstFiveSeconds <= mostAboveLimit);
        }
    }
}
