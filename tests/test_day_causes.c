/* tools/day_causes.sh: counts of outcomes and late responses from lines of a log. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "test.h"

static const char lines[] =
    "1.0 h1 t info 514 request-done id=1 outcome=served status=200 why=\"-\" route=r server=s1 first_ms=700 gap_ms=10\n"
    "5.5 h1 t info 514 request-done id=2 outcome=served status=200 why=\"-\" route=r server=s2 first_ms=20 gap_ms=250\n"
    "6.0 h2 t info 514 request-done id=3 outcome=refused status=503 why=\"no place\" route=r server=- first_ms=0 "
    "gap_ms=0\n"
    "6.1 h2 t info 510 request-sent id=4 server=s1 route=r\n"
    "t info 514 request-done id=5 outcome=served status=200 why=\"-\" route=q server=s1 first_ms=20 gap_ms=10\n";

START_TEST(outcomes_and_late_responses_are_counted_by_route_second_and_server) {
    char path[] = "/tmp/day_causes_XXXXXX";
    char command[128];
    char out[2048] = "";
    int fd = mkstemp(path);
    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(write(fd, lines, sizeof(lines) - 1), (ssize_t)sizeof(lines) - 1);
    close(fd);
    snprintf(command, sizeof(command), "tools/day_causes.sh 600 200 %s", path);
    FILE* p = popen(command, "r"); /* NOLINT(cert-env33-c): the script is what is tested */
    ck_assert_ptr_nonnull(p);
    size_t n = fread(out, 1, sizeof(out) - 1, p);
    out[n] = 0;
    ck_assert_int_eq(pclose(p), 0);
    unlink(path);
    ck_assert_str_eq(out, "r: 3 requests\n"
                          "  ended as:  served 200: 2  refused no place: 1\n"
                          "  late by the first byte, from second:  s0: 1\n"
                          "  late by a pause, from second:  s4: 1\n"
                          "  late by a pause, at server:  s2: 1\n"
                          "q: 1 requests\n"
                          "  ended as:  served 200: 1\n");
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, outcomes_and_late_responses_are_counted_by_route_second_and_server);
}

int main(void) {
    return run_suite("day-causes", add_tests, 10);
}
