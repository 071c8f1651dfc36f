/*
    Daemons before engines that a part of prompts crashes.

    Guards against daemons that send prompts with such a part to engine after engine: the daemon has no quarantine
    (chalkway_quarantine.h), so each prompt crashes one engine for each of its attempts until none is left.
*/
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../tools/site.h"
#include "test.h"

#define WAIT_MS 30000
#define TOKEN "test-token"
#define ENGINES 10
#define CRASHES_MAX 4
#define PROMPTS 8
#define DAEMONS 2

static site_t site;
static site_proc_t* engines[ENGINES];

static void start_site(void) {
    static const char* const engine[] = {"--slots", "4", "--step", "3", NULL};
    static const char* const platform[] = {"--host-lag", "0", NULL};
    const char* build = getenv("CHALKWAY_BUILD");
    char digest[65];
    char items[4096];
    site_setup(&site, build ? build : "build");
    ck_assert(site_start(&site, SITE_PLATFORM, "platform", "h1", platform) != NULL);
    site_digest(TOKEN, digest);
    int n = snprintf(items, sizeof(items),
                     "{\"items\":[{\"key\":\"workspaces/w\",\"value\":{\"token_digests\":[\"%s\"]}},"
                     "{\"key\":\"pools/lang\",\"value\":{\"kind\":\"engine\",\"model\":\"m\"}},"
                     "{\"key\":\"classes/chat\",\"value\":{\"tier\":1,\"deadline_ms\":5000,\"pools\":[\"lang\"]}}",
                     digest);
    for (int i = 0; i < ENGINES; i++) {
        char name[24];
        snprintf(name, sizeof(name), "engine%d", i);
        engines[i] = site_start(&site, SITE_ENGINE, name, "h1", engine);
        ck_assert_ptr_nonnull(engines[i]);
        n += snprintf(items + n, sizeof(items) - (size_t)n,
                      ",{\"key\":\"upstreams/%s\",\"value\":{\"pool\":\"lang\",\"address\":\"%s\",\"hall\":\"h1\","
                      "\"slots\":4}}",
                      name, engines[i]->http);
    }
    snprintf(items + n, sizeof(items) - (size_t)n, "]}");
    ck_assert(site_publish(&site, items));
    ck_assert(site_start_daemon(&site, "a", "h1") != NULL);
    ck_assert(site_start_daemon(&site, "b", "h1") != NULL);
    ck_assert_msg(site_wait_ready(&site, WAIT_MS), "logs in %s", site.dir);
}

static long send_prompt(const char* daemon, const char* part, int number) {
    char body[256];
    snprintf(body, sizeof(body), "{\"model\":\"m\",\"messages\":[{\"content\":\"%s\"},{\"content\":\"id=p%d len=3\"}]}",
             part, number);
    site_response_t response = site_call(&(site_request_t){.address = site_find_process(&site, daemon)->http,
                                                           .path = "/v1/chat/completions",
                                                           .token = TOKEN,
                                                           .class_name = "chat",
                                                           .body = body});
    return response.status;
}

static int count_crashed_engines(void) {
    int crashed = 0;
    for (int i = 0; i < ENGINES; i++) {
        if (engines[i]->pid && waitpid(engines[i]->pid, NULL, WNOHANG) == engines[i]->pid) {
            engines[i]->pid = 0;
        }
        crashed += !engines[i]->pid;
    }
    return crashed;
}

/* The part is listed at each daemon, and a release at one of them holds at the other one. */
static void check_operators_list(void) {
    const char* a = site_find_process(&site, "a")->operator_http;
    const char* b = site_find_process(&site, "b")->operator_http;
    site_response_t list = site_call(&(site_request_t){.method = "GET", .address = a, .path = "/held"});
    char part[20] = "";
    const char* entry = strstr(list.body, "\"workspace\":\"part\",\"verdict\":\"held\"");
    ck_assert_msg(entry != NULL, "%s", list.body);
    sscanf(entry - strlen("0123456789abcdef\","), "%16[0-9a-f]", part);
    char path[100];
    snprintf(path, sizeof(path), "/held/release?fingerprint=%s&workspace=part", part);
    ck_assert_int_eq(site_call(&(site_request_t){.method = "POST", .address = a, .path = path, .body = ""}).status,
                     200);
    ck_assert_int_eq(site_call(&(site_request_t){.method = "POST", .address = a, .path = path, .body = ""}).status,
                     404);
    for (int i = 0; i < 100 && strstr(list.body, part); i++) {
        usleep(20000);
        list = site_call(&(site_request_t){.method = "GET", .address = b, .path = "/held"});
    }
    ck_assert_msg(strstr(list.body, part) == NULL, "%s", list.body);
}

START_TEST(prompts_with_a_part_that_crashed_engines_are_refused) {
    static const char* const daemons[DAEMONS] = {"a", "b"};
    start_site();
    ck_assert_int_eq(send_prompt("a", "be brief", 100), 200);
    for (int i = 0; i < PROMPTS; i++) {
        send_prompt(daemons[i % DAEMONS], "deadly instructions", i);
    }
    int crashed = count_crashed_engines();
    check_operators_list();
    long status = crashed < ENGINES ? send_prompt("b", "be brief", 101) : 0;
    site_shutdown(&site);
    ck_assert_msg(crashed <= CRASHES_MAX, "%d engines crashed", crashed);
    ck_assert_int_eq(status, 200);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, prompts_with_a_part_that_crashed_engines_are_refused);
}

int main(void) {
    return run_suite("site crashes", add_tests, 90);
}
