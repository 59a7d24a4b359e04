// All that the gateway has missed is longer than 8 MiB; its link carries 200 Mbit/s.
#include "../support-3/large_configuration.h"

int main(int argc, char** argv)
{
    using namespace review3;
    constexpr large_configuration played{200, 3 * 1'400 + 1'300, 9, ms(1'000)};
    return run_case(argc, argv, [&](journal& log, const std::filesystem::path& folder) {
        return play_large_configuration(log, folder, played);
    });
}
