/* explain_request over the logs of several daemons, one in text and one in JSON form. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../tools/explain.h"
#include "test.h"

static char dir[] = "/tmp/chalkway-explain-XXXXXX";
static char paths[2][64];

static void write_file(int i, const char* text) {
    snprintf(paths[i], sizeof(paths[i]), "%s/%d.log", dir, i);
    FILE* file = fopen(paths[i], "w");
    ck_assert_ptr_nonnull(file);
    fputs(text, file);
    fclose(file);
}

/* Two logs: request q1 fails at one daemon; another refuses its retry. */
static void write_logs(void) {
    ck_assert_ptr_nonnull(mkdtemp(dir));
    write_file(0, "no line of the logger\n"
                  "2026-01-04T03:20:10.100Z info 510 request-sent id=q1 server=s1 route=r cost_ms=3\n"
                  "2026-01-04T03:20:10.150Z info 510 request-sent id=q11 server=s1 route=r cost_ms=3\n"
                  "2026-01-04T03:20:10.300Z warn 521 server-away server=s1 pool=p\n"
                  "2026-01-04T03:20:10.310Z warn 521 server-away server=s2 pool=p\n"
                  "2026-01-04T03:20:10.300Z warn 501 upstream-failed id=q1 step=sent server=s1 reason=\"reset\"\n"
                  "2026-01-04T03:20:20.000Z warn 530 source-lost peer=x reason=\"late\"\n");
    write_file(1,
               "{\"time\":\"2026-01-04T03:20:10.200Z\",\"level\":\"warn\",\"event\":530,\"name\":\"source-lost\"}\n"
               "{\"time\":\"2026-01-04T03:20:11.000Z\",\"level\":\"warn\",\"event\":515,\"name\":\"request-refused\","
               "\"id\":\"q1\",\"why\":\"no server is left to try\"}\n");
}

/* Output of explain_request, in a static buffer that the next call overwrites. */
static const char* run_explain(const char* id, int* lines) {
    static char out[8192];
    char* files[2] = {paths[0], paths[1]};
    memset(out, 0, sizeof(out));
    FILE* stream = fmemopen(out, sizeof(out), "w");
    *lines = explain_request(id, files, 2, stream);
    fclose(stream);
    return out;
}

static void remove_logs(void) {
    unlink(paths[0]);
    unlink(paths[1]);
    rmdir(dir);
}

START_TEST(request_lines_are_sorted_and_interleaved_with_context_lines) {
    int lines = 0;
    write_logs();
    const char* out = run_explain("q1", &lines);
    ck_assert_int_eq(lines, 3);
    const char* sent = strstr(out, "request-sent id=q1 ");
    const char* lost = strstr(out, "~ ");
    const char* away = strstr(out, "server-away server=s1");
    const char* failed = strstr(out, "upstream-failed id=q1");
    const char* refused = strstr(out, "request-refused");
    ck_assert(sent && lost && away && failed && refused);
    ck_assert(sent < lost && lost < away && lost < failed && away < refused && failed < refused);
    ck_assert_ptr_null(strstr(out, "id=q11"));    /* another request */
    ck_assert_ptr_null(strstr(out, "server=s2")); /* a server that it was not sent to */
    ck_assert_ptr_null(strstr(out, "03:20:20"));  /* outside the context window */
    remove_logs();
}
END_TEST

START_TEST(unknown_request_and_unreadable_file_are_reported) {
    int lines = 0;
    write_logs();
    const char* out = run_explain("q7", &lines);
    ck_assert_int_eq(lines, 0);
    ck_assert_str_eq(out, "");
    unlink(paths[1]);
    out = run_explain("q1", &lines);
    ck_assert_int_eq(lines, -1);
    ck_assert_ptr_nonnull(strstr(out, "request-sent id=q1 ")); /* lines of the readable file are printed */
    remove_logs();
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, request_lines_are_sorted_and_interleaved_with_context_lines);
    tcase_add_test(t, unknown_request_and_unreadable_file_are_reported);
}

int main(void) {
    return run_suite("explain", add_tests, 30);
}
