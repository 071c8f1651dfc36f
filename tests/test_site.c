/* Real processes: what must always hold, under kills, pauses, cuts and an outage of the platform. */
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../tools/site.h"
#include "test.h"

#define WAIT_MS 30000
#define TOKEN "test-token"
#define BOOKING_BODY "{\"call\":\"%s\",\"slot\":\"08:00\"}"

static site_t site;

static const char* build_dir(void) {
    const char* dir = getenv("CHALKWAY_BUILD");
    return dir ? dir : "build";
}

static void publish_text(const char* items) {
    ck_assert(site_publish(&site, items));
}

/* Platform, one engine, one service, three daemons in two halls. */
static void start_site(void) {
    static const char* const none[] = {NULL};
    static const char* const engine[] = {"--slots", "4", "--step", "3", NULL};
    site_setup(&site, build_dir());
    site.daemon_extra = "[platform]\nhosts = 200ms\n[entry]\nlookup_keep = 300ms\n[member]\nprobe = "
                        "200ms\nprobe_timeout = 150ms\nsuspect = 1s\n";
    static const char* const platform[] = {"--host-lag", "0", NULL};
    ck_assert(site_start(&site, SITE_PLATFORM, "platform", "h1", platform) != NULL);
    site_proc_t* e = site_start(&site, SITE_ENGINE, "engine", "h1", engine);
    site_proc_t* s = site_start(&site, SITE_SERVICE, "service", "h1", none);
    ck_assert(e && s);
    char digest[65];
    char items[4096];
    site_digest(TOKEN, digest);
    snprintf(items, sizeof(items),
             "{\"items\":["
             "{\"key\":\"workspaces/w\",\"value\":{\"token_digests\":[\"%s\"]}},"
             "{\"key\":\"pools/lang\",\"value\":{\"kind\":\"engine\",\"model\":\"m\"}},"
             "{\"key\":\"pools/sched\",\"value\":{\"kind\":\"service\"}},"
             "{\"key\":\"classes/booking\",\"value\":{\"tier\":0,\"protected\":true,\"repeatable\":false,"
             "\"deadline_ms\":10000,\"pools\":[\"sched\"]}},"
             "{\"key\":\"classes/status\",\"value\":{\"tier\":1,\"deadline_ms\":10000,\"pools\":[\"sched\"]}},"
             "{\"key\":\"classes/summary\",\"value\":{\"tier\":3,\"deadline_ms\":20000,\"queue_ms\":20000,"
             "\"pools\":[\"lang\"]}},"
             "{\"key\":\"upstreams/engine\",\"value\":{\"pool\":\"lang\",\"address\":\"%s\",\"hall\":\"h1\","
             "\"slots\":4}},"
             "{\"key\":\"upstreams/service\",\"value\":{\"pool\":\"sched\",\"address\":\"%s\",\"hall\":\"h1\","
             "\"slots\":16}}]}",
             digest, e->http, s->http);
    publish_text(items);
    ck_assert(site_start_daemon(&site, "a", "h1") != NULL);
    ck_assert(site_start_daemon(&site, "b", "h2") != NULL);
    ck_assert(site_start_daemon(&site, "c", "h2") != NULL);
    ck_assert_msg(site_wait_ready(&site, WAIT_MS), "logs in %s", site.dir);
}

static void stop_site(void) {
    ck_assert_int_eq(site_shutdown(&site), 0);
}

static site_answer_t summary(const char* address, const char* id, bool stream, unsigned tokens) {
    char body[256];
    snprintf(body, sizeof(body), "{\"model\":\"m\",\"stream\":%s,\"messages\":[{\"content\":\"id=%s len=%u\"}]}",
             stream ? "true" : "false", id, tokens);
    return site_call(&(site_request_t){
        .address = address, .path = "/v1/chat/completions", .token = TOKEN, .class_name = "summary", .body = body});
}

static site_answer_t status_call_of(const char* address, const char* token) {
    return site_call(&(site_request_t){.address = address,
                                       .path = "/v1/services/sched/status",
                                       .token = token,
                                       .class_name = "status",
                                       .body = "{\"kiosk\":1}"});
}

static site_answer_t status_call(const char* address) {
    return status_call_of(address, TOKEN);
}

/* Asks a daemon for a ticket and names a call with it. */
static void make_key(const char* address, const char* suffix, char out[256]) {
    site_answer_t a = site_call(&(site_request_t){.address = address, .path = "/v1/lookup"});
    json_t* root = json_loads(a.body, 0, NULL);
    const char* ticket = json_string_value(json_object_get(root, "ticket"));
    ck_assert_ptr_nonnull(ticket);
    snprintf(out, 256, "%s/%s", ticket, suffix);
    json_decref(root);
}

static site_answer_t booking(const char* address, const char* key, const char* call, long timeout_ms) {
    char body[128];
    snprintf(body, sizeof(body), BOOKING_BODY, call);
    return site_call(&(site_request_t){.address = address,
                                       .path = "/v1/services/sched/book",
                                       .token = TOKEN,
                                       .class_name = "booking",
                                       .key = key,
                                       .body = body,
                                       .timeout_ms = timeout_ms});
}

static const char* http_of(const char* name) {
    return site_find(&site, name)->http;
}

static double service_count(const char* key) {
    return site_number(http_of("service"), "/admin/stats", key);
}

static void set_service(const char* query) {
    char path[128];
    snprintf(path, sizeof(path), "/admin/set?%s", query);
    site_call(&(site_request_t){.address = http_of("service"), .path = path, .body = ""});
}

/* Repeats the call until it is answered with 200 or the wait is over. */
static bool served_within(const char* address, int timeout_ms) {
    int64_t until_ms = site_now_ms() + timeout_ms;
    while (site_now_ms() < until_ms) {
        if (status_call(address).status == 200) {
            return true;
        }
        site_sleep_ms(50);
    }
    return false;
}

START_TEST(requests_of_each_kind_are_served) {
    start_site();
    ck_assert_int_eq(summary(http_of("a"), "x", false, 10).status, 200);
    site_answer_t stream = summary(http_of("b"), "y", true, 10);
    ck_assert_int_eq(stream.status, 200);
    ck_assert(stream.whole && strstr(stream.body, "[DONE]"));
    ck_assert_int_eq(status_call(http_of("c")).status, 200);
    stop_site();
}
END_TEST

START_TEST(a_cut_stream_is_visibly_broken) {
    start_site();
    site_call(&(site_request_t){.address = http_of("engine"), .path = "/admin/set?cut_after=5", .body = ""});
    site_answer_t a = summary(http_of("a"), "x", true, 50);
    ck_assert(!a.whole);
    ck_assert_ptr_nonnull(strstr(a.body, "event: error"));
    ck_assert_ptr_null(strstr(a.body, "[DONE]"));
    stop_site();
}
END_TEST

static void publish_sched(int shard_size) {
    char items[256];
    snprintf(items, sizeof(items),
             "{\"items\":[{\"key\":\"pools/sched\",\"value\":{\"kind\":\"service\",\"shard_size\":%d}}]}", shard_size);
    publish_text(items);
}

/* The shards of a pool are cut anew while requests wait and run: all are served, none twice. */
START_TEST(cutting_shards_anew_loses_nothing) {
    start_site();
    static const char* const slow[] = {"--ms", "100", "--slots", "2", NULL};
    char items[256];
    for (int i = 0; i < 2; i++) {
        char name[16];
        snprintf(name, sizeof(name), "more%d", i);
        site_proc_t* p = site_start(&site, SITE_SERVICE, name, "h1", slow);
        ck_assert_ptr_nonnull(p);
        snprintf(items, sizeof(items),
                 "{\"items\":[{\"key\":\"upstreams/%s\",\"value\":{\"pool\":\"sched\",\"address\":\"%s\","
                 "\"hall\":\"h1\",\"slots\":2}}]}",
                 name, p->http);
        publish_text(items);
    }
    set_service("ms=100");
    static const char* const names[] = {"a", "b", "c"};
    pid_t children[12];
    for (int i = 0; i < 12; i++) {
        children[i] = fork();
        if (children[i] == 0) {
            int failed = 0;
            for (int k = 0; k < 20; k++) {
                failed += status_call(http_of(names[i % 3])).status != 200;
            }
            _exit(failed);
        }
    }
    for (int k = 0; k < 6; k++) {
        publish_sched(k % 2 ? 24 : 1);
        site_sleep_ms(200);
    }
    int failed = 0;
    for (int i = 0; i < 12; i++) {
        int status = 0;
        waitpid(children[i], &status, 0);
        failed += WIFEXITED(status) ? WEXITSTATUS(status) : 1;
    }
    ck_assert_int_eq(failed, 0);
    stop_site();
}
END_TEST

/* Sixteen payments at two shards, one of which is busy for four seconds: those that it refuses go to the other. */
START_TEST(a_protected_request_asks_every_shard) {
    start_site();
    static const char* const slow[] = {"--ms", "4000", "--slots", "1", NULL};
    site_proc_t* p = site_start(&site, SITE_SERVICE, "slow", "h1", slow);
    ck_assert_ptr_nonnull(p);
    char items[1024];
    snprintf(items, sizeof(items),
             "{\"items\":[{\"key\":\"pools/sched\",\"value\":{\"kind\":\"service\",\"shard_size\":1}},"
             "{\"key\":\"classes/pay\",\"value\":{\"tier\":0,\"protected\":true,\"repeatable\":false,"
             "\"deadline_ms\":20000,\"queue_ms\":300,\"pools\":[\"sched\"]}},"
             "{\"key\":\"upstreams/slow\",\"value\":{\"pool\":\"sched\",\"address\":\"%s\",\"hall\":\"h1\","
             "\"slots\":1}}]}",
             p->http);
    publish_text(items);
    ck_assert(site_wait_revision(&site, 11, WAIT_MS));
    pid_t children[16];
    for (int i = 0; i < 16; i++) {
        children[i] = fork();
        if (children[i] == 0) {
            site_answer_t a = site_call(&(site_request_t){.address = http_of("a"),
                                                          .path = "/v1/services/sched/pay",
                                                          .token = TOKEN,
                                                          .class_name = "pay",
                                                          .body = "{}"});
            _exit(a.status == 200 ? 0 : 1);
        }
    }
    int failed = 0;
    for (int i = 0; i < 16; i++) {
        int status = 0;
        waitpid(children[i], &status, 0);
        failed += !WIFEXITED(status) || WEXITSTATUS(status) != 0;
    }
    ck_assert_int_eq(failed, 0);
    stop_site();
}
END_TEST

/* Where the pool's engines resume, a cut stream is continued: the caller sees every token once and never the cut. */
START_TEST(a_cut_stream_is_continued) {
    start_site();
    publish_text(
        "{\"items\":[{\"key\":\"pools/lang\",\"value\":{\"kind\":\"engine\",\"model\":\"m\",\"resumes\":true}}]}");
    ck_assert(site_wait_revision(&site, 9, WAIT_MS));
    site_answer_t uncut = summary(http_of("a"), "x", true, 50);
    ck_assert(uncut.whole);
    for (int cut_after = 1; cut_after < 50; cut_after += 16) {
        char path[64];
        snprintf(path, sizeof(path), "/admin/set?cut_after=%d", cut_after);
        site_call(&(site_request_t){.address = http_of("engine"), .path = path, .body = ""});
        site_answer_t cut = summary(http_of("a"), "x", true, 50);
        ck_assert(cut.whole);
        ck_assert_str_eq(cut.body, uncut.body);
    }
    stop_site();
}
END_TEST

/* An engine freezes in the middle of a stream and breaks nothing: the stream goes on at another one. */
START_TEST(a_stalled_stream_goes_on_elsewhere) {
    start_site();
    static const char* const slow[] = {"--slots", "4", "--step", "20", NULL};
    site_proc_t* other = site_start(&site, SITE_ENGINE, "other", "h1", slow);
    ck_assert_ptr_nonnull(other);
    char items[512];
    snprintf(
        items, sizeof(items),
        "{\"items\":[{\"key\":\"pools/lang\",\"value\":{\"kind\":\"engine\",\"model\":\"m\",\"resumes\":true}},"
        "{\"key\":\"upstreams/other\",\"value\":{\"pool\":\"lang\",\"address\":\"%s\",\"hall\":\"h1\",\"slots\":4}}]}",
        other->http);
    publish_text(items);
    ck_assert(site_wait_revision(&site, 10, WAIT_MS));
    site_proc_t* engine = site_find(&site, "engine");
    site_call(&(site_request_t){.address = engine->http, .path = "/admin/set?step_ms=20", .body = ""});
    pid_t children[4];
    for (int i = 0; i < 4; i++) {
        children[i] = fork();
        if (children[i] == 0) {
            char id[16];
            snprintf(id, sizeof(id), "s%d", i);
            site_answer_t a = summary(http_of("a"), id, true, 60);
            _exit(a.whole && strstr(a.body, "[DONE]") ? 0 : 1);
        }
    }
    site_sleep_ms(400);
    kill(engine->pid, SIGSTOP);
    for (int i = 0; i < 4; i++) {
        int status = 0;
        waitpid(children[i], &status, 0);
        ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    }
    kill(engine->pid, SIGCONT);
    stop_site();
}
END_TEST

/* The service runs the call and cuts the connection: the answer is lost, the call is not sent again. */
START_TEST(a_lost_answer_is_unknown_and_never_run_again) {
    start_site();
    char key[256];
    make_key(http_of("a"), "one", key);
    ck_assert_int_eq(status_call(http_of("a")).status, 200); /* leaves a connection to reuse */
    set_service("reset_after=1");
    site_answer_t a = booking(http_of("a"), key, "one", 10000);
    ck_assert_int_eq(a.status, 502);
    ck_assert_msg(strcmp(a.outcome, "unknown") == 0 || strcmp(a.outcome, "failed") == 0, "outcome %s", a.outcome);
    for (int i = 0; i < 3; i++) {
        ck_assert_int_ne(booking(http_of("a"), key, "one", 10000).status, 200);
    }
    ck_assert_double_eq(service_count("repeated"), 0);
    ck_assert_double_eq(service_count("runs"), 2); /* the status call and the booking, once */
    stop_site();
}
END_TEST

/* The caller gives up while its booking runs, then repeats it: one run, and the repeat gets the answer. */
START_TEST(a_repeat_joins_the_running_call) {
    start_site();
    char key[256];
    make_key(http_of("a"), "two", key);
    set_service("ms=700");
    ck_assert_int_eq(booking(http_of("a"), key, "two", 200).status, 0);
    site_answer_t a = booking(http_of("a"), key, "two", 10000);
    ck_assert_int_eq(a.status, 200);
    ck_assert_ptr_nonnull(strstr(a.body, "\"ran\":1"));
    ck_assert_double_eq(service_count("repeated"), 0);
    stop_site();
}
END_TEST

START_TEST(no_other_host_and_no_later_life_runs_a_name) {
    start_site();
    char key[256];
    make_key(http_of("a"), "three", key);
    ck_assert_int_eq(booking(http_of("b"), key, "three", 10000).status, 409);
    site_proc_t* a = site_find(&site, "a");
    site_kill(a);
    ck_assert(site_restart_daemon(&site, a));
    ck_assert(site_wait_ready(&site, WAIT_MS));
    site_answer_t again = booking(http_of("a"), key, "three", 10000);
    ck_assert_int_eq(again.status, 409);
    ck_assert_str_eq(again.outcome, "unknown");
    ck_assert_double_eq(service_count("runs"), 0);
    stop_site();
}
END_TEST

/* Whoever allocates, one of the three: the others serve on when any one is killed or frozen. */
START_TEST(hosts_serve_on_when_one_is_killed) {
    start_site();
    static const char* const names[] = {"a", "b", "c"};
    for (int i = 0; i < 3; i++) {
        ck_assert_int_eq(status_call(http_of(names[i])).status, 200);
    }
    site_kill(site_find(&site, names[_i]));
    for (int i = 0; i < 3; i++) {
        ck_assert(i == _i || served_within(http_of(names[i]), WAIT_MS));
    }
    stop_site();
}
END_TEST

START_TEST(hosts_serve_on_when_one_is_frozen) {
    start_site();
    static const char* const names[] = {"a", "b", "c"};
    for (int i = 0; i < 3; i++) {
        ck_assert_int_eq(status_call(http_of(names[i])).status, 200);
    }
    site_proc_t* frozen = site_find(&site, names[_i]);
    kill(frozen->pid, SIGSTOP);
    for (int i = 0; i < 3; i++) {
        ck_assert(i == _i || served_within(http_of(names[i]), WAIT_MS));
    }
    kill(frozen->pid, SIGCONT);
    ck_assert(served_within(frozen->http, WAIT_MS));
    stop_site();
}
END_TEST

START_TEST(a_planned_stop_cuts_nothing) {
    start_site();
    set_service("ms=1500");
    site_proc_t* a = site_find(&site, "a");
    pid_t child = fork();
    if (child == 0) {
        _exit(status_call(a->http).status == 200 ? 0 : 1);
    }
    site_sleep_ms(300);
    ck_assert_int_eq(site_stop(a), 0);
    int status = 0;
    waitpid(child, &status, 0);
    ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    stop_site();
}
END_TEST

START_TEST(a_leaving_host_is_not_named_any_more) {
    start_site();
    site_proc_t* a = site_find(&site, "a");
    site_stop_begin(a);
    int64_t until_ms = site_now_ms() + WAIT_MS;
    bool named = true;
    while (named && site_now_ms() < until_ms) {
        site_answer_t lookup = site_call(&(site_request_t){.address = http_of("b"), .path = "/v1/lookup"});
        named = strstr(lookup.body, a->http) != NULL;
        site_sleep_ms(20);
    }
    ck_assert(!named);
    ck_assert_int_eq(site_stop_wait(a), 0);
    stop_site();
}
END_TEST

/* The platform goes away, a host restarts: configuration comes from its peers and does not go back. */
START_TEST(configuration_survives_the_platform_and_never_reverts) {
    start_site();
    publish_text("{\"items\":[{\"key\":\"pools/new\",\"value\":{\"kind\":\"service\"}}]}");
    ck_assert(site_wait_revision(&site, 9, WAIT_MS));
    const char* platform = http_of("platform");
    site_call(&(site_request_t){.address = platform, .path = "/admin/mode?down=1", .body = ""});
    site_proc_t* a = site_find(&site, "a");
    site_kill(a);
    ck_assert(site_restart_daemon(&site, a));
    ck_assert(site_wait_revision(&site, 9, WAIT_MS));
    ck_assert(served_within(a->http, WAIT_MS));
    stop_site();
}
END_TEST

START_TEST(an_invalid_change_leaves_the_last_valid_one) {
    start_site();
    publish_text("{\"items\":[{\"key\":\"classes/status\",\"value\":{\"tier\":77}}]}");
    ck_assert(site_wait_revision(&site, 9, WAIT_MS));
    ck_assert_int_eq(status_call(http_of("a")).status, 200);
    site_answer_t a = site_call(
        &(site_request_t){.address = site_find(&site, "b")->operator_http, .path = "/v1/resources/classes/status"});
    ck_assert_ptr_nonnull(strstr(a.body, "\"status\":false"));
    ck_assert_ptr_nonnull(strstr(a.body, "tier"));
    stop_site();
}
END_TEST

START_TEST(the_load_tool_measures_a_site) {
    start_site();
    char path[128];
    snprintf(path, sizeof(path), "%s/load.ini", site.dir);
    FILE* f = fopen(path, "w");
    ck_assert_ptr_nonnull(f);
    fprintf(f,
            "[load]\naddresses = %s, %s\nseconds = 2\n[workspace w]\ntoken = " TOKEN
            "\n[class booking]\npath = /v1/services/sched/book\nonce = yes\nrate = 20\n"
            "[class summary]\npath = /v1/chat/completions\nmodel = m\nstream = yes\nlength = 10\nrate = 5\n",
            http_of("a"), http_of("b"));
    fclose(f);
    char command[512];
    snprintf(command, sizeof(command), "%s/chalkway-load %s -o %s/load.json >/dev/null 2>&1", build_dir(), path,
             site.dir);
    FILE* pipe = popen(command, "r");
    ck_assert_ptr_nonnull(pipe);
    ck_assert_int_eq(pclose(pipe), 0);
    snprintf(path, sizeof(path), "%s/load.json", site.dir);
    json_t* root = json_load_file(path, 0, NULL);
    json_t* booked = json_object_get(json_object_get(root, "classes"), "booking");
    int sent = (int)json_integer_value(json_object_get(booked, "sent"));
    ck_assert_int_gt(sent, 0);
    ck_assert_int_eq(json_integer_value(json_object_get(booked, "wrong")), 0);
    ck_assert_double_eq(service_count("runs"), sent);
    ck_assert_double_eq(service_count("repeated"), 0);
    json_decref(root);
    stop_site();
}
END_TEST

/* Slots that the allocator of a pool may use, by what the hosts that run say; -1 when none allocates it. */
static int limit_of_pool(const char* pool) {
    int limit = -1;
    for (int i = 0; i < site.count; i++) {
        const site_proc_t* p = &site.procs[i];
        if (p->kind != SITE_DAEMON || p == site_find(&site, "c")) {
            continue;
        }
        site_answer_t a =
            site_call(&(site_request_t){.address = p->operator_http, .path = "/v1/status", .timeout_ms = 2000});
        json_t* root = json_loads(a.body, 0, NULL);
        size_t k = 0;
        json_t* shard = NULL;
        json_array_foreach(json_object_get(root, "shards"), k, shard) {
            if (strcmp(json_string_value(json_object_get(shard, "pool")), pool) == 0) {
                limit = (int)json_integer_value(json_object_get(shard, "limit"));
            }
        }
        json_decref(root);
    }
    return limit;
}

/* A listed host that cannot be reached may serve callers with an allocator of its own: the others use their share. */
START_TEST(a_cut_off_host_leaves_its_share_unused) {
    start_site();
    ck_assert(site_publish_hosts(&site, NULL));
    kill(site_find(&site, "c")->pid, SIGSTOP);
    int64_t until_ms = site_now_ms() + WAIT_MS;
    int limit = 0;
    while (limit != 16 * 2 / 3 && site_now_ms() < until_ms) {
        ck_assert(served_within(http_of("a"), WAIT_MS));
        limit = limit_of_pool("sched");
    }
    ck_assert_int_eq(limit, 16 * 2 / 3);
    kill(site_find(&site, "c")->pid, SIGCONT);
    until_ms = site_now_ms() + WAIT_MS;
    while (limit != 16 && site_now_ms() < until_ms) {
        served_within(http_of("a"), WAIT_MS);
        site_proc_t* c = site_find(&site, "c");
        limit = limit_of_pool("sched");
        limit = limit == -1 && status_call(c->http).status == 200 ? 16 : limit; /* c allocates it again */
    }
    ck_assert_int_eq(limit, 16);
    stop_site();
}
END_TEST

/* The list of hosts says that the only service leaves: within seconds nothing new is sent there. */
START_TEST(a_leaving_upstream_gets_no_new_work) {
    start_site();
    ck_assert_int_eq(status_call(http_of("a")).status, 200);
    ck_assert(site_publish_hosts(&site, "service"));
    int64_t until_ms = site_now_ms() + WAIT_MS;
    long status = 200;
    while (status == 200 && site_now_ms() < until_ms) {
        status = status_call(http_of("a")).status;
    }
    ck_assert_int_eq(status, 429); /* it waits and is refused: no upstream may take it */
    double runs = service_count("runs");
    ck_assert_int_ne(status_call(http_of("b")).status, 200);
    ck_assert_double_eq(service_count("runs"), runs);
    stop_site();
}
END_TEST

START_TEST(the_control_tool_shows_what_is_wrong) {
    start_site();
    publish_text("{\"items\":[{\"key\":\"classes/status\",\"value\":{\"tier\":77}}]}");
    ck_assert(site_wait_revision(&site, 9, WAIT_MS));
    char command[256];
    char out[4096] = "";
    snprintf(command, sizeof(command), "%s/chalkwayctl -a %s get classes", build_dir(),
             site_find(&site, "c")->operator_http);
    FILE* pipe = popen(command, "r");
    ck_assert_ptr_nonnull(pipe);
    out[fread(out, 1, sizeof(out) - 1, pipe)] = 0;
    ck_assert_int_eq(pclose(pipe), 0);
    ck_assert_msg(strstr(out, "booking") && strstr(out, "NO       field \"tier\": must be"), "%s", out);
    stop_site();
}
END_TEST

/* A workspace that may run two requests at once sends nine through three hosts: all are served, two at a time. */
START_TEST(a_limit_of_a_workspace_holds_over_all_hosts) {
    start_site();
    char digest[65];
    char items[256];
    site_digest("limited", digest);
    snprintf(items, sizeof(items),
             "{\"items\":[{\"key\":\"workspaces/limited\",\"value\":{\"token_digests\":[\"%s\"],\"concurrency\":2}}]}",
             digest);
    publish_text(items);
    ck_assert(site_wait_revision(&site, 9, WAIT_MS));
    set_service("ms=100");
    static const char* const names[] = {"a", "b", "c"};
    pid_t children[9];
    for (int i = 0; i < 9; i++) {
        children[i] = fork();
        if (children[i] == 0) {
            _exit(status_call_of(http_of(names[i % 3]), "limited").status == 200 ? 0 : 1);
        }
    }
    for (int i = 0; i < 9; i++) {
        int status = 0;
        waitpid(children[i], &status, 0);
        ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    }
    ck_assert_double_eq(service_count("runs"), 9);
    ck_assert_double_eq(service_count("most"), 2);
    stop_site();
}
END_TEST

START_TEST(bad_input_is_refused_and_not_run) {
    start_site();
    const char* a = http_of("a");
    const struct {
        site_request_t request;
        long status;
    } cases[] = {
        {{.path = "/v1/chat/completions", .token = TOKEN, .class_name = "summary", .body = "{"}, 400},
        {{.path = "/v1/chat/completions", .token = TOKEN, .class_name = "summary", .body = "{\"model\":\"no\"}"}, 404},
        {{.path = "/v1/chat/completions", .token = TOKEN, .class_name = "nothing", .body = "{}"}, 400},
        {{.path = "/v1/chat/completions", .token = "wrong", .class_name = "summary", .body = "{}"}, 401},
        {{.path = "/v1/chat/completions", .class_name = "summary", .body = "{}"}, 401},
        {{.path = "/v1/services/lang/x", .token = TOKEN, .class_name = "status", .body = "{}"}, 404},
        {{.path = "/v1/services/sched/x", .token = TOKEN, .class_name = "booking", .body = "{}", .key = "free"}, 400},
        {{.path = "/nothing", .token = TOKEN, .class_name = "status", .body = "{}"}, 404},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        site_request_t r = cases[i].request;
        r.address = a;
        site_answer_t answer = site_call(&r);
        ck_assert_msg(answer.status == cases[i].status, "case %zu: %ld %s", i, answer.status, answer.body);
        ck_assert_str_eq(answer.outcome, "not-run");
    }
    ck_assert_double_eq(service_count("runs"), 0);
    ck_assert_int_eq(status_call(a).status, 200);
    stop_site();
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, requests_of_each_kind_are_served);
    tcase_add_test(t, a_cut_stream_is_visibly_broken);
    tcase_add_test(t, cutting_shards_anew_loses_nothing);
    tcase_add_test(t, a_protected_request_asks_every_shard);
    tcase_add_test(t, a_cut_stream_is_continued);
    tcase_add_test(t, a_stalled_stream_goes_on_elsewhere);
    tcase_add_test(t, a_lost_answer_is_unknown_and_never_run_again);
    tcase_add_test(t, a_repeat_joins_the_running_call);
    tcase_add_test(t, no_other_host_and_no_later_life_runs_a_name);
    tcase_add_loop_test(t, hosts_serve_on_when_one_is_killed, 0, 3);
    tcase_add_loop_test(t, hosts_serve_on_when_one_is_frozen, 0, 3);
    tcase_add_test(t, a_planned_stop_cuts_nothing);
    tcase_add_test(t, a_leaving_host_is_not_named_any_more);
    tcase_add_test(t, configuration_survives_the_platform_and_never_reverts);
    tcase_add_test(t, an_invalid_change_leaves_the_last_valid_one);
    tcase_add_test(t, a_cut_off_host_leaves_its_share_unused);
    tcase_add_test(t, a_leaving_upstream_gets_no_new_work);
    tcase_add_test(t, the_load_tool_measures_a_site);
    tcase_add_test(t, the_control_tool_shows_what_is_wrong);
    tcase_add_test(t, a_limit_of_a_workspace_holds_over_all_hosts);
    tcase_add_test(t, bad_input_is_refused_and_not_run);
}

int main(void) {
    return run_suite("site", add_tests, 180);
}
