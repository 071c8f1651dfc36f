/* ORDER: a release has just replaced the last servers of a software version, which serve on, when all machines are killed.
   They start again, find one version listed, and take it for that of all streams that clients take up. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../rig-2/rig.h"

#define CLIENTS 40
#define DEADLINE_MS 15000
#define TRIES 6
#define RETRY_MS 900 /* after a connection that did not come up */
#define SERVERS 5
#define OLD 2        /* of the old version: a share of 0.4 */
#define GAP_MS 1000  /* between two steps of the release */
#define AFTER_MS 1000
#define DOWN_MS 1000

static uint32_t begun, begun_old, whole, of_two_versions, open_clients;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Notes which versions the events of the answer are from. */
static void note_versions(const rig_call_t* call, bool* has_old, bool* has_new) {
    *has_old = *has_old || (call->size && strstr(call->body, " v1\n"));
    *has_new = *has_new || (call->size && strstr(call->body, " v2\n"));
}

/* One stream of a client over its tries. */
static void* run_client(void* arg) {
    rig_call_t call = {0};
    size_t at = *(const size_t*)arg % rig_gateway_count;
    double deadline_ms = rig_now_ms() + DEADLINE_MS;
    bool has_old = false, has_new = false, began_old = false, is_whole = false;
    for (int try = 0; try < TRIES && !is_whole && deadline_ms - rig_now_ms() > 500; try++) {
        char headers[320];
        int n = snprintf(headers, sizeof(headers), "Model: m\r\nToken-Counts: 100,120\r\nPrefix-Hash: %08x:60,%08x:40\r\n",
                         rig_random(UINT32_MAX), rig_random(UINT32_MAX));
        if (call.last_event) {
            snprintf(headers + n, sizeof(headers) - (size_t)n, "Last-Event-Id: %d\r\nResumes: %s\r\n", call.last_event,
                     call.first);
        }
        rig_ask_t ask = {.path = "/s/chat",
                         .headers = headers,
                         .gap_ms = 2000,
                         .body_size = 400,
                         .deadline_ms = (int)(deadline_ms - rig_now_ms())};
        rig_call(&rig_gateways[at], &ask, &call);
        note_versions(&call, &has_old, &has_new);
        began_old = began_old || (has_old && !has_new);
        is_whole = call.status == 200 && call.is_complete;
        double third_ms = (deadline_ms - rig_now_ms()) / 3;
        if (call.status == 503) {
            rig_sleep_ms(call.retry_after_ms < third_ms ? call.retry_after_ms : third_ms);
        } else if (!call.status) {
            rig_sleep_ms(RETRY_MS);
        }
        at = rig_random(rig_gateway_count);
    }
    pthread_mutex_lock(&lock);
    begun += call.last_event > 0;
    begun_old += began_old;
    whole += is_whole;
    of_two_versions += has_old && has_new;
    pthread_mutex_unlock(&lock);
    if (has_old && has_new) {
        rig_record("ORDER the stream of %s holds events of v1 and of v2", call.first);
    }
    rig_call_free(&call);
    __sync_fetch_and_sub(&open_clients, 1);
    return NULL;
}

int main(int argc, char** argv) {
    rig_init(argc > 1 ? argv[1] : ".", 3);
    rig_store_start(0);
    rig_config(1);
    for (int i = 0; i < SERVERS; i++) {
        rig_server_t* s = rig_server("llm", true, 48, i < OLD ? "v1" : "v2", false);
        s->events = 120;
        s->gap_ms = 80;
        rig_server_start(s);
    }
    rig_gateways_start();
    rig_sleep_ms(5000);
    open_clients = CLIENTS;
    for (size_t i = 0; i < CLIENTS; i++) {
        rig_thread(run_client, &rig_numbers[i]);
    }
    rig_sleep_ms(1000);
    for (int i = 0; i < OLD; i++) { /* the new one starts first; the entry of the old one goes, and it serves on */
        rig_server_t* next = rig_server("llm", true, 48, "v2", false);
        next->events = 120;
        next->gap_ms = 80;
        rig_server_start(next);
        rig_sleep_ms(GAP_MS / 2.0);
        rig_server_withdraw(&rig_servers[i]);
        rig_sleep_ms(GAP_MS / 2.0);
    }
    rig_sleep_ms(AFTER_MS);
    if (rig_trouble) {
        for (uint32_t i = 0; i < rig_gateway_count; i++) {
            rig_gateway_kill(&rig_gateways[i]);
        }
        rig_sleep_ms(DOWN_MS);
        for (uint32_t i = 0; i < rig_gateway_count; i++) {
            rig_gateway_start(&rig_gateways[i]);
        }
    }
    while (open_clients) {
        rig_sleep_ms(20);
    }
    rig_report("%u streams began, %u of them at v1; %u came whole; %u hold events of two software versions", begun, begun_old,
               whole, of_two_versions);
    if (begun < CLIENTS / 2 || begun_old < 5) {
        rig_fail("too few streams");
    }
    return rig_finish(of_two_versions > 2);
}
