#ifndef CW_IO_ADDRESS_H
#define CW_IO_ADDRESS_H
/* IPv4 socket addresses in the text form "IP:PORT". */
#include <netinet/in.h>

#include "../chalkway_core.h"

#define CW_ADDR_TEXT_SIZE 48 /* buffer size, terminating zero included */

/* Parses "IP:PORT"; CW_ERR_INVALID on any other text. err may be NULL. */
cw_status_t cw_addr_parse(const char* text, struct sockaddr_in* out, cw_error_t* err);
/* Formats as "IP:PORT". */
void cw_addr_format(const struct sockaddr_in* addr, char out[CW_ADDR_TEXT_SIZE]);
/* Opens a non-blocking listening TCP socket and writes its address to bound; with port 0 the kernel picks the port.
   Returns the socket, or -1 with err set. */
int cw_addr_listen(const char* text, char bound[CW_ADDR_TEXT_SIZE], cw_error_t* err);
/* Opens a non-blocking UDP socket bound to the address. Returns the socket, or -1 with err set. */
int cw_addr_bind_udp(const char* text, cw_error_t* err);

#endif
