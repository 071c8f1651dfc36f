/* What the log holds of the end of a process. */
#include <fcntl.h>
#include <sys/wait.h>

#include "../io/lines.h"
#include "rig.h"

#define LINES 2000 /* more than a pipe holds */
#define TEXT "a line of the log that is long enough to fill the pipe of a reader which is slow to read it"

/* Reads all from the pipe, slowly at first. Returns the number of lines. */
static int read_lines(int fd) {
    char buffer[65536];
    int lines = 0;
    usleep(50000);
    for (ssize_t n = read(fd, buffer, sizeof(buffer)); n > 0; n = read(fd, buffer, sizeof(buffer))) {
        for (ssize_t i = 0; i < n; i++) {
            lines += buffer[i] == '\n';
        }
    }
    return lines;
}

/* Guards against the loss of the last lines of a process, which were written once and dropped when their reader was
   slow: how a process ended, and what it cut, was not in its log. */
START_TEST(a_slow_reader_gets_the_last_lines) {
    int fds[2];
    cw_lines_t lines;
    struct ev_loop* loop = ev_loop_new(0);
    ck_assert_int_eq(pipe(fds), 0);
    pid_t reader = fork();
    ck_assert_int_ge(reader, 0);
    if (!reader) {
        close(fds[1]);
        _exit(read_lines(fds[0]) == LINES ? 0 : 1);
    }
    close(fds[0]);
    cw_lines_setup(&lines, loop, fds[1], 1 << 20);
    for (int i = 0; i < LINES; i++) {
        cw_lines_add(&lines, TEXT);
    }
    cw_lines_shutdown(&lines);
    close(fds[1]);
    int status = 0;
    waitpid(reader, &status, 0);
    ck_assert_msg(WIFEXITED(status) && !WEXITSTATUS(status), "the reader has not got all lines");
    ev_loop_destroy(loop);
}
END_TEST

/* -- requests that run at the exit --------------------------------------------- */

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"pools\":[{\"name\":\"p\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"prefix\":\"/"   \
    "\","                                                                                                              \
    "\"kind\":\"stream\",\"resume\":true,\"open\":true,\"timeout_ms\":5000,\"target_ms\":2000,\"gap_ms\":500,"         \
    "\"attempts\":2,\"pools\":[{\"pool\":\"p\"}]}]}"

static void find_done_line(const char* line, void* user) {
    if (strstr(line, "request-done id=q1 ")) {
        cw_copy(user, 1024, line);
    }
}

static void stop_loop(struct ev_loop* loop, ev_timer* w, int events) {
    (void)w;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

/* Guards against requests without a last line in the log: one that was cut by the exit of its process had none. */
START_TEST(a_request_that_the_exit_cuts_has_its_last_line) {
    char done[1024] = "";
    ev_timer timer;
    rig_t* r = rig_setup(ROUTES, 1);
    r->log.write = find_done_line;
    r->log.user_data = done;
    rig_script(r,
               &(rig_step_t){RIG_RESPOND, "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Type: "
                                          "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                                          "10\r\nid: 1\ndata: a\n\n\n\r\n"},
               1);
    r->stop_on_response = true;
    rig_write(r, "POST /r HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: q1\r\nContent-Length: 0\r\n\r\n");
    ev_timer_init(&timer, stop_loop, 0.2, 0.0);
    ev_timer_start(r->loop, &timer);
    rig_run(r);
    exchanges_end_all(r->exchanges);
    rig_shutdown(r);
    ck_assert_msg(strstr(done, "outcome=failed") && strstr(done, "this host has stopped") && strstr(done, "begun=yes"),
                  "%s", done);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_slow_reader_gets_the_last_lines);
    tcase_add_test(t, a_request_that_the_exit_cuts_has_its_last_line);
}

int main(void) {
    return run_suite("lines", add_tests, 30);
}
