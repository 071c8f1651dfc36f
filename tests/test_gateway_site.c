/* Real gateway processes on addresses of this test's own: they find each other, follow each other, stop as planned. The
   source and a server run in the test's loop. */
#include <ev.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../io/client.h"
#include "../io/httpd.h"
#include "test.h"

#define HOSTS 3
#define GIVE_UP_S 20.0
#define POLL_S 0.02

typedef struct fleet_t {
    struct ev_loop* loop;
    cw_client_t* client;
    cw_httpd_t* source;
    cw_httpd_t* server;
    bool source_answers;
    uint32_t served; /* requests that reached the server */
    cw_exchange_t* held;
    bool hold;     /* the server keeps the next request waiting */
    char base[24]; /* "127.A.B", the addresses of this test */
    pid_t pids[HOSTS];
    char dir[64];
    /* a call of the test */
    unsigned status;
    bool done;
    char body[4096];
} fleet_t;

static void on_source(cw_exchange_t* x, void* user) {
    fleet_t* f = user;
    char body[1024];
    if (!f->source_answers) {
        cw_exchange_reply(x, 503, NULL, 0, "", 0);
        return;
    }
    if (strcmp(cw_exchange_path(x), "/catalog") == 0) {
        snprintf(body, sizeof(body),
                 "{\"revision\":4,\"pools\":[{\"name\":\"p\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
                 "\"prefix\":\"/\",\"kind\":\"once\",\"timeout_ms\":8000,\"target_ms\":500,\"open\":true,"
                 "\"pools\":[{\"pool\":\"p\"}]}]}");
    } else {
        snprintf(body, sizeof(body),
                 "{\"at\":1,\"servers\":[{\"id\":\"s\",\"address\":\"%s\",\"pool\":\"p\",\"hall\":\"a\",\"slots\":4}]}",
                 cw_httpd_address(f->server));
    }
    cw_exchange_reply(x, 200, NULL, 0, body, strlen(body));
}

static void answer(cw_exchange_t* x) {
    const char* id = cw_exchange_header(x, "Chalkway-Request-Id");
    const cw_header_t header = {"Chalkway-Request-Id", id ? id : ""};
    cw_exchange_reply(x, 200, &header, 1, "hello", 5);
}

static void on_server(cw_exchange_t* x, void* user) {
    fleet_t* f = user;
    f->served++;
    if (f->hold) {
        f->held = x;
        f->hold = false;
        return;
    }
    answer(x);
}

static cw_httpd_t* serve(fleet_t* f, void (*on_request)(cw_exchange_t*, void*)) {
    cw_error_t err = {0};
    cw_httpd_t* httpd = cw_httpd_setup(
        &(cw_httpd_desc_t){.loop = f->loop, .address = "127.0.0.1:0", .on_request = on_request, .user_data = f}, &err);
    ck_assert_msg(httpd != NULL, "%s", err.message);
    return httpd;
}

/* Settings of host number i; its addresses are its own, the ports those of all hosts. */
static void write_settings(const fleet_t* f, int i, const char* lookup_keep) {
    char path[128];
    snprintf(path, sizeof(path), "%s/host%d.ini", f->dir, i);
    FILE* file = fopen(path, "w");
    ck_assert_ptr_nonnull(file);
    fprintf(file, "[host]\nname = h%d\nhall = a\n[listen]\n", i);
    static const struct {
        const char* key;
        int port;
    } listen[] = {{"callers", 7100}, {"ready", 7101}, {"lookup", 7102}, {"metrics", 7103},
                  {"peer", 7104},    {"load", 7105},  {"share", 7106}};
    for (size_t k = 0; k < sizeof(listen) / sizeof(listen[0]); k++) {
        fprintf(file, "%s = %s.%d:%d\n", listen[k].key, f->base, i + 1, listen[k].port);
    }
    fprintf(file, "[peers]\nseeds = %s.1:7104, %s.2:7104\n[source]\naddress = %s\nread = 100ms\n", f->base, f->base,
            cw_httpd_address(f->source));
    fprintf(file, "[service]\ngrace = 3s\nlookup_keep = %s\n", lookup_keep);
    fclose(file);
}

static void launch(fleet_t* f, int i, const char* path) {
    f->pids[i] = fork();
    ck_assert_int_ge(f->pids[i], 0);
    if (f->pids[i] == 0) {
        char program[256];
        const char* build = getenv("CHALKWAY_BUILD");
        snprintf(program, sizeof(program), "%s/chalkway-gateway", build ? build : "build");
        if (!getenv("SITE_LOG")) {
            freopen("/dev/null", "w", stdout);
        }
        execl(program, program, "-c", path, (char*)NULL);
        _exit(127);
    }
}

static void start(fleet_t* f, int i) {
    char path[128];
    write_settings(f, i, "2s");
    snprintf(path, sizeof(path), "%s/host%d.ini", f->dir, i);
    launch(f, i, path);
}

static int stop(fleet_t* f, int i, int signal_number) {
    int status = 0;
    kill(f->pids[i], signal_number);
    waitpid(f->pids[i], &status, 0);
    f->pids[i] = 0;
    return status;
}

/* -- calls ---------------------------------------------------------------- */

static bool on_data(void* user, const char* data, size_t size) {
    fleet_t* f = user;
    strncat(f->body, data, size < sizeof(f->body) - strlen(f->body) - 1 ? size : 0);
    return true;
}

static void on_done(void* user, const cw_call_result_t* result) {
    fleet_t* f = user;
    f->status = result->whole ? result->status : 0;
    f->done = true;
    ev_break(f->loop, EVBREAK_ALL);
}

static void begin(fleet_t* f, int host, int port, const char* path) {
    static const cw_header_t header = {"Host", "h.example"};
    char url[128];
    snprintf(url, sizeof(url), "http://%s.%d:%d%s", f->base, host + 1, port, path);
    f->done = false;
    f->status = 0;
    f->body[0] = 0;
    cw_client_call(f->client, &(cw_call_desc_t){.url = url,
                                                .headers = &header,
                                                .header_count = 1,
                                                .connect_ms = 1000,
                                                .timeout_ms = 8000,
                                                .fresh = true,
                                                .on_data = on_data,
                                                .on_done = on_done,
                                                .user_data = f});
}

static unsigned call(fleet_t* f, int host, int port, const char* path) {
    begin(f, host, port, path);
    while (!f->done) {
        ev_run(f->loop, 0);
    }
    return f->status;
}

static void nap(struct ev_loop* loop, ev_timer* w, int events) {
    (void)w;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

/* Lets the loop run for a while. */
static void pause_for(fleet_t* f, double s) {
    ev_timer timer;
    ev_timer_init(&timer, nap, s, 0.0);
    ev_timer_start(f->loop, &timer);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &timer);
}

/* Asks again until the answer has the status and, where given, holds the one text and not the other. */
static void until(fleet_t* f, int host, int port, const char* path, unsigned status, const char* with,
                  const char* without) {
    ev_tstamp end = ev_time() + GIVE_UP_S;
    while (call(f, host, port, path) != status || (with && !strstr(f->body, with)) ||
           (without && strstr(f->body, without))) {
        ck_assert_msg(ev_time() < end, "host %d %s: status %u, %s", host, path, f->status, f->body);
        pause_for(f, POLL_S);
    }
}

static fleet_t* fleet_setup(void) {
    fleet_t* f = calloc(1, sizeof(*f));
    f->loop = ev_loop_new(0);
    f->client = cw_client_setup(f->loop, 4);
    f->source_answers = true;
    f->source = serve(f, on_source);
    f->server = serve(f, on_server);
    /* All hosts share their ports, so the kernel can't pick them: a network of loopback for each process does instead.
     */
    snprintf(f->base, sizeof(f->base), "127.%d.%d", 1 + getpid() / 250 % 250, getpid() % 250);
    snprintf(f->dir, sizeof(f->dir), "/tmp/chalkway-gateway-XXXXXX");
    ck_assert_ptr_nonnull(mkdtemp(f->dir));
    return f;
}

static void fleet_shutdown(fleet_t* f) {
    for (int i = 0; i < HOSTS; i++) {
        char path[128];
        if (f->pids[i]) {
            stop(f, i, SIGKILL);
        }
        snprintf(path, sizeof(path), "%s/host%d.ini", f->dir, i);
        unlink(path);
    }
    rmdir(f->dir);
    cw_client_shutdown(f->client);
    cw_httpd_shutdown(f->source);
    cw_httpd_shutdown(f->server);
    ev_loop_destroy(f->loop);
    free(f);
}

START_TEST(hosts_find_each_other_and_a_killed_one_is_no_longer_named) {
    fleet_t* f = fleet_setup();
    char second[40];
    snprintf(second, sizeof(second), "%s.2:7100", f->base);
    start(f, 0);
    start(f, 1);
    until(f, 0, 7101, "/readyz", 200, NULL, NULL);
    until(f, 0, 7102, "/v1/lookup?hall=a", 200, second, NULL);
    ck_assert_uint_eq(call(f, 0, 7100, "/x"), 200);
    ck_assert_str_eq(f->body, "hello");
    until(f, 0, 7103, "/metrics", 200, "chalkway_requests_total{route=\"r\",outcome=\"served\"} 1\n", NULL);
    stop(f, 1, SIGKILL);
    until(f, 0, 7102, "/v1/lookup?hall=a", 200, NULL, second);
    start(f, 1); /* and named again when it is back */
    until(f, 0, 7102, "/v1/lookup?hall=a", 200, second, NULL);
    fleet_shutdown(f);
}
END_TEST

START_TEST(a_host_that_the_source_turns_away_follows_another) {
    fleet_t* f = fleet_setup();
    start(f, 0);
    until(f, 0, 7101, "/readyz", 200, NULL, NULL);
    f->source_answers = false;
    start(f, 2);
    until(f, 2, 7101, "/readyz", 200, NULL, NULL);
    ck_assert_uint_eq(call(f, 2, 7100, "/x"), 200);
    until(f, 2, 7103, "/metrics", 200, "chalkway_revision 4\n", NULL);
    fleet_shutdown(f);
}
END_TEST

/* The file changes without a signal, then with faults, which change nothing, then with a signal. */
START_TEST(changed_settings_are_taken_over) {
    fleet_t* f = fleet_setup();
    start(f, 0);
    until(f, 0, 7102, "/v1/lookup?hall=a", 200, "2.0", NULL);
    write_settings(f, 0, "7s");
    until(f, 0, 7102, "/v1/lookup?hall=a", 200, "7.0", NULL);
    write_settings(f, 0, "soon");
    kill(f->pids[0], SIGHUP);
    until(f, 0, 7102, "/v1/lookup?hall=a", 200, "7.0", NULL);
    write_settings(f, 0, "9s");
    kill(f->pids[0], SIGHUP);
    until(f, 0, 7102, "/v1/lookup?hall=a", 200, "9.0", NULL);
    fleet_shutdown(f);
}
END_TEST

/* The settings of host 0 come through a pipe, so that the test knows when the process has begun to read them. Returns
   the pipe's other end, opened then. */
static int start_reading_settings(fleet_t* f, char* path, size_t size) {
    snprintf(path, size, "%s/host0.ini", f->dir);
    ck_assert_int_eq(mkfifo(path, 0600), 0);
    launch(f, 0, path);
    int fd = -1;
    ev_tstamp end = ev_time() + GIVE_UP_S;
    while ((fd = open(path, O_WRONLY | O_NONBLOCK)) < 0) { /* until somebody reads */
        ck_assert(ev_time() < end);
        ev_sleep(POLL_S / 10);
    }
    return fd;
}

/* SIGHUP, more than once, while the process is being set up. */
START_TEST(signals_during_the_start_wait_for_it) {
    fleet_t* f = fleet_setup();
    char path[128];
    char text[2048];
    int fd = start_reading_settings(f, path, sizeof(path));
    kill(f->pids[0], SIGHUP);
    kill(f->pids[0], SIGHUP);
    unlink(path); /* the process has it open; what it reads later is a plain file */
    write_settings(f, 0, "7s");
    FILE* file = fopen(path, "r");
    size_t length = fread(text, 1, sizeof(text), file);
    fclose(file);
    ck_assert_int_eq(write(fd, text, length), (ssize_t)length);
    close(fd);
    until(f, 0, 7101, "/readyz", 200, NULL, NULL);
    until(f, 0, 7102, "/v1/lookup?hall=a", 200, "7.0", NULL);
    ck_assert_int_eq(waitpid(f->pids[0], NULL, WNOHANG), 0);
    fleet_shutdown(f);
}
END_TEST

/* A host is told to stop while a request runs, with the source there or away. */
static void stop_during_a_request(bool source_answers) {
    fleet_t* f = fleet_setup();
    start(f, 0);
    until(f, 0, 7101, "/readyz", 200, NULL, NULL);
    f->source_answers = source_answers;
    f->hold = true;
    begin(f, 0, 7100, "/long");
    while (!f->held) {
        ev_run(f->loop, EVRUN_ONCE);
    }
    kill(f->pids[0], SIGTERM);
    pause_for(f, 0.3);
    ck_assert(!f->done);
    answer(f->held);
    while (!f->done) {
        ev_run(f->loop, 0);
    }
    ck_assert_uint_eq(f->status, 200);
    int status = 0;
    ck_assert_int_eq(waitpid(f->pids[0], &status, 0), f->pids[0]);
    f->pids[0] = 0;
    ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    ck_assert_uint_eq(f->served, 1); /* sent once */
    fleet_shutdown(f);
}

START_TEST(a_planned_stop_finishes_what_runs) {
    stop_during_a_request(true);
}
END_TEST

START_TEST(a_planned_stop_finishes_what_runs_while_the_source_is_away) {
    stop_during_a_request(false);
}
END_TEST

START_TEST(a_settings_file_with_faults_ends_the_start_with_all_of_them) {
    char text[4096] = "";
    char command[512];
    const char* build = getenv("CHALKWAY_BUILD");
    char path[] = "/tmp/chalkway-gateway-XXXXXX";
    int fd = mkstemp(path);
    ck_assert_int_ge(fd, 0);
    static const char wrong[] = "[host]\nname = h\n[source]\nread = fast\n[odd]\nkey = 1\n";
    ck_assert_int_eq(write(fd, wrong, sizeof(wrong) - 1), (int)sizeof(wrong) - 1);
    close(fd);
    snprintf(command, sizeof(command), "%s/chalkway-gateway --check -c %s 2>&1", build ? build : "build", path);
    FILE* out = popen(command, "r");
    text[fread(text, 1, sizeof(text) - 1, out)] = 0;
    ck_assert_int_eq(WEXITSTATUS(pclose(out)), 78);
    ck_assert_msg(strstr(text, "[host] hall: is missing") && strstr(text, "[source] read: must be a time") &&
                      strstr(text, "[odd] key: is not known"),
                  "%s", text);
    unlink(path);
}
END_TEST

static void add(TCase* t) {
    tcase_add_test(t, hosts_find_each_other_and_a_killed_one_is_no_longer_named);
    tcase_add_test(t, a_host_that_the_source_turns_away_follows_another);
    tcase_add_test(t, changed_settings_are_taken_over);
    tcase_add_test(t, signals_during_the_start_wait_for_it);
    tcase_add_test(t, a_planned_stop_finishes_what_runs);
    tcase_add_test(t, a_planned_stop_finishes_what_runs_while_the_source_is_away);
    tcase_add_test(t, a_settings_file_with_faults_ends_the_start_with_all_of_them);
}

int main(void) {
    return run_suite("gateway-site", add, 60);
}
