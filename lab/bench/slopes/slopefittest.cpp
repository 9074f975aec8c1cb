#include "lab/bench/slopes/slopefit.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace Sequoiausher;

TEST_CASE("a line is found exactly, and a bent one has a residual")
{
    const SlopeFit line = fitSlope({{1, 5}, {2, 7}, {10, 23}});
    CHECK(line.slope == doctest::Approx(2));
    CHECK(line.intercept == doctest::Approx(3));
    CHECK(line.residual == doctest::Approx(0));

    const SlopeFit bent = fitSlope({{0, 0}, {1, 1}, {2, 0}});
    CHECK(bent.slope == doctest::Approx(0));
    CHECK(bent.intercept == doctest::Approx(1.0 / 3));
    // Distances 1/3, 2/3 and 1/3 from a mean of 1/3.
    CHECK(bent.residual == doctest::Approx(1.41421).epsilon(0.001));
}

TEST_CASE("one size makes no slope")
{
    CHECK_THROWS_AS(fitSlope({}), std::invalid_argument);
    CHECK_THROWS_AS(fitSlope({{3, 1}, {3, 2}}), std::invalid_argument);
}
